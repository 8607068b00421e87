package org.cyclamenstall.internal.upstream;

import io.undertow.util.HeaderMap;

/**
 * Complete buffered response of an upstream. The body must not be changed.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body in bytes
 * @param tokens the number of generated tokens that the response reports, or zero
 */
public record BufferedResponse(int status, HeaderMap headers, byte[] body, long tokens) {

}
