package org.cyclamenstall.claims;

/**
 * Holds the whole answer of a named request. The array must not be changed.
 *
 * @param status the HTTP status
 * @param contentType the content type
 * @param body the body in bytes
 */
public record StoredAnswer(int status, String contentType, byte[] body) {

}
