package org.cyclamenstall.internal.policy.placement;

/**
 * Holds the bounds of a placement controller. Immutable.
 *
 * @param retryWindowMillis the window of the retry budget, in milliseconds
 * @param retryShare the repeats allowed for each request of the window
 * @param retryFloor the repeats allowed in a window without requests
 */
public record PlacementSettings(long retryWindowMillis, double retryShare, int retryFloor) {

}
