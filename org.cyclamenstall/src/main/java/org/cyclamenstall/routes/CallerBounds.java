package org.cyclamenstall.routes;

import java.time.Duration;

/**
 * Bounds what a caller may send and how long it may take. Immutable.
 *
 * @param headerBytes the largest request head, in bytes
 * @param bodyBytes the largest request body, in bytes
 * @param headerTime the longest time to send a request head
 * @param idleTime the longest time that a connection may stay without a request
 */
public record CallerBounds(int headerBytes, int bodyBytes, Duration headerTime, Duration idleTime) {

}
