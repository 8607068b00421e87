package org.cyclamenstall.internal.store;

import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.kernel.MonotonicClock;

/**
 * Applies exponential backoff to the calls to an unavailable service. Each delay is
 * random below a limit that doubles with each consecutive failure, so that many daemons
 * do not call again at the same moment. The first failure causes no delay, so that a
 * writer that received no response can read the record back immediately. Thread-safe.
 */
public final class OutageBackoff {

	private static final long INITIAL_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private static final long MAXIMUM_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final MonotonicClock clock;

	private final UniformRandomProvider random;

	private boolean lastCallFailed;

	private long delayLimitNanos;

	private long delayStartNanos;

	private long delayNanos;

	/**
	 * Creates a backoff without failures.
	 * @param clock the clock
	 * @param random the random number generator for jitter
	 */
	public OutageBackoff(MonotonicClock clock, UniformRandomProvider random) {
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Returns whether a call may be made now.
	 * @return {@code false} during a delay
	 */
	public synchronized boolean isCallAllowed() {
		return this.clock.nanoTime() - this.delayStartNanos >= this.delayNanos;
	}

	/**
	 * Records a response from the service, which ends the backoff.
	 */
	public synchronized void recordSuccess() {
		this.lastCallFailed = false;
		this.delayLimitNanos = 0;
		this.delayNanos = 0;
	}

	/**
	 * Records that the service did not respond. Starts a delay, unless this is the first
	 * failure after a success.
	 */
	public synchronized void recordFailure() {
		if (!this.lastCallFailed) {
			this.lastCallFailed = true;
			return;
		}
		this.delayLimitNanos = Math.min(MAXIMUM_LIMIT_NANOS, Math.max(INITIAL_LIMIT_NANOS, this.delayLimitNanos * 2));
		this.delayStartNanos = this.clock.nanoTime();
		this.delayNanos = this.random.nextLong(this.delayLimitNanos);
	}

}
