package org.cyclamenstall.internal.follower;

import java.time.Duration;

import org.cyclamenstall.kernel.SuspendAwareClock;

/**
 * Knows how long ago the store was last asked with success. The time counts from the
 * sending of the question, because an answer tells nothing of what came after it was
 * made, and goes on while the host is suspended. Thread-safe.
 */
public final class Freshness {

	private final SuspendAwareClock clock;

	private volatile long confirmedAtNanos;

	private volatile boolean confirmed;

	/**
	 * Creates a record of nothing.
	 * @param clock the clock
	 */
	public Freshness(SuspendAwareClock clock) {
		this.clock = clock;
	}

	/**
	 * Returns the time.
	 * @return the time on the clock that counts suspension, in nanoseconds
	 */
	long nowNanos() {
		return this.clock.nanoTime();
	}

	/**
	 * Records an answer.
	 * @param sentAtNanos when the question was sent
	 */
	void confirmed(long sentAtNanos) {
		this.confirmedAtNanos = sentAtNanos;
		this.confirmed = true;
	}

	/**
	 * Returns whether the store was asked with success within a time.
	 * @param bound the time
	 * @return {@code false} if it is longer ago, or never happened
	 */
	public boolean isWithin(Duration bound) {
		return this.confirmed && ageNanos() < bound.toNanos();
	}

	/**
	 * Returns how old the last confirmation is.
	 * @return the age in nanoseconds; the largest number if there is none
	 */
	public long ageNanos() {
		return this.confirmed ? this.clock.nanoTime() - this.confirmedAtNanos : Long.MAX_VALUE;
	}

}
