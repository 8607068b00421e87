package org.cyclamenstall.internal.store;

import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.kernel.MonotonicClock;

/**
 * Spaces the attempts to reach a service that does not answer. The pause is random below
 * a bound that doubles with each failure in a row, so that many daemons do not return at
 * once. The first failure in a row begins no pause, so that the writer of a lost answer
 * can read the record back at once. Thread-safe.
 */
public final class OutagePause {

	private static final long FIRST_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private static final long MAXIMUM_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final MonotonicClock clock;

	private final UniformRandomProvider random;

	private boolean failedLast;

	private long boundNanos;

	private long blockedSince;

	private long blockedNanos;

	/**
	 * Creates a pause that blocks nothing yet.
	 * @param clock the clock
	 * @param random the source of jitter
	 */
	public OutagePause(MonotonicClock clock, UniformRandomProvider random) {
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Returns whether a call may be tried now.
	 * @return {@code false} during a pause
	 */
	public synchronized boolean allows() {
		return this.clock.nanoTime() - this.blockedSince >= this.blockedNanos;
	}

	/**
	 * Records that the service answered.
	 */
	public synchronized void succeeded() {
		this.failedLast = false;
		this.boundNanos = 0;
		this.blockedNanos = 0;
	}

	/**
	 * Records that the service did not answer, and begins a pause unless it answered
	 * directly before.
	 */
	public synchronized void failed() {
		if (!this.failedLast) {
			this.failedLast = true;
			return;
		}
		this.boundNanos = Math.min(MAXIMUM_NANOS, Math.max(FIRST_NANOS, this.boundNanos * 2));
		this.blockedSince = this.clock.nanoTime();
		this.blockedNanos = this.random.nextLong(this.boundNanos);
	}

}
