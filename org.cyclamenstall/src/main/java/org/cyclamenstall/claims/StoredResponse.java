package org.cyclamenstall.claims;

/**
 * The complete response to a request with an idempotency key. The array must not be
 * modified.
 *
 * @param status the HTTP status
 * @param contentType the content type
 * @param body the response body
 */
public record StoredResponse(int status, String contentType, byte[] body) {

}
