package org.cyclamenstall.internal.follower;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Gives the pause before the store is asked again. Answers the load pattern of many
 * upstreams that come, leave and drain at the same time: every change ends a waiting
 * call, so without a pause there would be one call for each of them. Failures are
 * followed by pauses that double. Does no input or output. Not thread-safe.
 */
public final class FollowPace {

	/** The time in which changes gather after some were told. */
	private static final long GATHER_MILLIS = 150;

	private static final long FIRST_FAILURE_MILLIS = 60;

	private static final long LONGEST_FAILURE_MILLIS = 250;

	private final UniformRandomProvider random;

	private long failureMillis = FIRST_FAILURE_MILLIS;

	/**
	 * Creates a pace.
	 * @param random the source of jitter
	 */
	public FollowPace(UniformRandomProvider random) {
		this.random = random;
	}

	/**
	 * Returns how long to wait after a step.
	 * @param step the result of the step
	 * @return the pause in milliseconds: jittered up to twice its base, or zero
	 */
	public long pauseMillis(FollowStep step) {
		if (step == FollowStep.FAILED) {
			long pause = jittered(this.failureMillis);
			this.failureMillis = Math.min(LONGEST_FAILURE_MILLIS, this.failureMillis * 2);
			return pause;
		}
		this.failureMillis = FIRST_FAILURE_MILLIS;
		return (step == FollowStep.CHANGED) ? jittered(GATHER_MILLIS) : 0;
	}

	private long jittered(long millis) {
		return millis + this.random.nextLong(millis);
	}

}
