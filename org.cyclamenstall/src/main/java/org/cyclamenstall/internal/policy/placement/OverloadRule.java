package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides when a waiting request is given up and when its caller should come back.
 * Answers the load pattern of a crest that is longer than callers wait: a request that
 * cannot be answered any more is refused at once, while its caller still has time to come
 * back; returns are spread over the time in which the queue drains, later ones for those
 * that would be served later. Does no input or output. Not thread-safe.
 */
final class OverloadRule {

	/** The part of its whole time that a request must still have to be worth starting. */
	private static final double LEAST_PART = 0.25;

	private static final long LEAST_RETURN_NANOS = 150_000_000L;

	private static final double SPREAD = 0.5;

	/** Callers do not heed an advice beyond this part of the time that they have left. */
	private static final double LARGEST_RETURN_PART = 0.3;

	private final UniformRandomProvider random;

	OverloadRule(UniformRandomProvider random) {
		this.random = random;
	}

	/**
	 * Returns whether a request should be given up.
	 * @param expectedWaitNanos how long it is expected to wait still
	 * @param leftNanos the time until its caller gives up
	 * @param wholeNanos the time that it had at its arrival
	 * @return {@code true} if too little would be left
	 */
	boolean isHopeless(double expectedWaitNanos, double leftNanos, double wholeNanos) {
		return leftNanos - expectedWaitNanos < LEAST_PART * wholeNanos;
	}

	/**
	 * Returns when a caller should come back.
	 * @param expectedWaitNanos how long a request in its place would wait
	 * @param leftNanos the time until it gives up
	 * @return the pause
	 */
	Duration returnAfter(double expectedWaitNanos, double leftNanos) {
		double spread = 1 + SPREAD * (this.random.nextDouble() * 2 - 1);
		double nanos = Math.max(LEAST_RETURN_NANOS, expectedWaitNanos * spread);
		return Duration.ofNanos((long) Math.max(1, Math.min(nanos, leftNanos * LARGEST_RETURN_PART)));
	}

}
