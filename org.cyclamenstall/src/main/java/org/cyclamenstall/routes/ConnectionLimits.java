package org.cyclamenstall.routes;

import java.time.Duration;

/**
 * Limits on the connections and requests of callers. Immutable.
 *
 * @param maximumHeaderBytes the maximum size of the request headers, in bytes
 * @param maximumBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeout the timeout for receiving the request headers
 * @param idleTimeout the maximum time that a connection may be idle between requests
 */
public record ConnectionLimits(int maximumHeaderBytes, int maximumBodyBytes, Duration headerTimeout,
		Duration idleTimeout) {

}
