package org.cyclamenstall.routes;

import java.time.Duration;

/**
 * Limits on the connections and requests of callers. Immutable.
 *
 * @param headerBytes the maximum size of the request headers, in bytes
 * @param bodyBytes the maximum size of a request body, in bytes
 * @param headerTime the timeout for receiving the request headers
 * @param idleTime the maximum time that a connection may be idle between requests
 */
public record CallerBounds(int headerBytes, int bodyBytes, Duration headerTime, Duration idleTime) {

}
