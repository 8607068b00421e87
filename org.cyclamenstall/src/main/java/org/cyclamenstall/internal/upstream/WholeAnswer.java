package org.cyclamenstall.internal.upstream;

import io.undertow.util.HeaderMap;

/**
 * Holds a whole answer of an upstream. The body must not be changed.
 *
 * @param status the HTTP status
 * @param headers the headers of the upstream
 * @param body the body in bytes
 * @param tokens the generated tokens that the answer states, or zero
 */
public record WholeAnswer(int status, HeaderMap headers, byte[] body, long tokens) {

}
