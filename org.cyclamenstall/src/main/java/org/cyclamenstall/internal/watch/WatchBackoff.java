package org.cyclamenstall.internal.watch;

import java.time.Duration;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Computes the delay before the next poll of the store. When many upstreams register,
 * leave or drain at the same time, each change ends a long poll, and without a delay each
 * would cost a call of its own; the delay lets the next poll return several changes.
 * Failed polls are retried with exponential backoff. Performs no I/O. Not thread-safe.
 */
public final class WatchBackoff {

	private static final long INITIAL_BACKOFF_MILLIS = 60;

	/**
	 * Maximum base delay after a failure. Jitter can almost double it.
	 */
	private static final long MAXIMUM_BACKOFF_MILLIS = 250;

	private final long changeDelayMillis;

	private final UniformRandomProvider random;

	private long backoffMillis = INITIAL_BACKOFF_MILLIS;

	/**
	 * Creates a backoff in its initial state, with no failure recorded.
	 * @param changeDelay the base delay after a poll that returned changes, during which
	 * further changes accumulate
	 * @param random the random number generator for jitter
	 */
	public WatchBackoff(Duration changeDelay, UniformRandomProvider random) {
		this.changeDelayMillis = changeDelay.toMillis();
		this.random = random;
	}

	/**
	 * Returns the delay after a poll.
	 * @param result the result of the poll
	 * @return the delay in milliseconds; zero for {@link WatchResult#UNCHANGED},
	 * otherwise between the base delay and twice the base delay. The base delay after a
	 * failure doubles with each consecutive failure, up to a maximum.
	 */
	public long delayMillis(WatchResult result) {
		if (result == WatchResult.FAILED) {
			long delay = withJitter(this.backoffMillis);
			this.backoffMillis = Math.min(MAXIMUM_BACKOFF_MILLIS, this.backoffMillis * 2);
			return delay;
		}
		this.backoffMillis = INITIAL_BACKOFF_MILLIS;
		return (result == WatchResult.CHANGED) ? withJitter(this.changeDelayMillis) : 0;
	}

	private long withJitter(long millis) {
		return millis + this.random.nextLong(millis);
	}

}
