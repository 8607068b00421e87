package org.cyclamenstall.claims;

/**
 * Identifies a request that must be executed at most once. Immutable.
 *
 * @param account the name of the client account
 * @param entry the name of the catalogue entry
 * @param idempotencyKey the idempotency key sent by the caller
 * @param bodyHash the SHA-256 hash of method, path with query, and body, in lower-case
 * hexadecimal
 * @param requestId the identifier of this request, unique across all daemons; claims and
 * their records use it as the identifier of the attempt
 */
public record ClaimRequest(String account, String entry, String idempotencyKey, String bodyHash, String requestId) {

}
