package org.cyclamenstall.claims;

/**
 * Names a request that must run at most once. Immutable.
 *
 * @param account the name of the client account
 * @param entry the name of the catalogue entry
 * @param idempotencyKey the caller's key
 * @param bodyHash the SHA-256 hash of method, path and body, in lower-case hexadecimal
 * @param requestId the identifier of this request, unique among all daemons
 */
public record ClaimRequest(String account, String entry, String idempotencyKey, String bodyHash, String requestId) {

}
