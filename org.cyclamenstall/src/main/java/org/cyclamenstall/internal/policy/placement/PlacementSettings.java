package org.cyclamenstall.internal.policy.placement;

/**
 * Settings of the retry budget of a placement controller. Immutable.
 *
 * @param retryWindowMillis the sliding window of the retry budget, in milliseconds
 * @param retryShare the maximum ratio of retries to requests in the window
 * @param fleetRetries the number of retries that all daemons together may make in each
 * window beyond that ratio
 */
public record PlacementSettings(long retryWindowMillis, double retryShare, int fleetRetries) {

}
