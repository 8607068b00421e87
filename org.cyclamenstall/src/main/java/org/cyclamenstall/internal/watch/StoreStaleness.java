package org.cyclamenstall.internal.watch;

import java.time.Duration;

import org.cyclamenstall.kernel.SuspendAwareClock;

/**
 * Tracks the time since the state of the store was last confirmed by a successful call.
 * The age is measured from a time at which the state is known to have been current, not
 * from the arrival of the response, which may not reflect later changes. It includes the
 * time during which the host is suspended. Thread-safe.
 */
public final class StoreStaleness {

	private final SuspendAwareClock clock;

	private volatile long confirmedAtNanos;

	private volatile boolean confirmed;

	/**
	 * Creates an instance without a confirmation.
	 * @param clock the clock, which must count the time of suspension
	 */
	public StoreStaleness(SuspendAwareClock clock) {
		this.clock = clock;
	}

	/**
	 * Returns the current time of the suspend-aware clock.
	 * @return the time in nanoseconds
	 */
	long nowNanos() {
		return this.clock.nanoTime();
	}

	/**
	 * Records a successful call.
	 * @param currentAtNanos a time at which the state was current, on the clock of
	 * {@link #nowNanos()}: at the earliest the time when the request was sent
	 */
	void recordConfirmation(long currentAtNanos) {
		this.confirmedAtNanos = currentAtNanos;
		this.confirmed = true;
	}

	/**
	 * Returns whether the last confirmation is younger than a maximum age.
	 * @param maximumAge the maximum age
	 * @return {@code false} if it is older or there is none
	 */
	public boolean isWithin(Duration maximumAge) {
		return this.confirmed && ageNanos() < maximumAge.toNanos();
	}

	/**
	 * Returns the age of the last confirmation.
	 * @return the age in nanoseconds; {@link Long#MAX_VALUE} if there is none
	 */
	public long ageNanos() {
		return this.confirmed ? this.clock.nanoTime() - this.confirmedAtNanos : Long.MAX_VALUE;
	}

}
