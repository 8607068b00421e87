package org.cyclamenstall.internal.policy.placement;

/**
 * Settings of the retry budget of a placement controller. Immutable.
 *
 * @param retryWindowMillis the sliding window of the retry budget, in milliseconds
 * @param retryShare the number of retries allowed per request of the window
 * @param minimumRetries the number of retries allowed in each window in addition to that
 * share
 */
public record PlacementSettings(long retryWindowMillis, double retryShare, int minimumRetries) {

}
