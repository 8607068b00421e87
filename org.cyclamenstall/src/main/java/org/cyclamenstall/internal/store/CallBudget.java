package org.cyclamenstall.internal.store;

import java.util.concurrent.TimeUnit;

import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.store.StorePriority;

/**
 * Bounds the calls per second by a token bucket of one second's calls. A part of the
 * bucket is reserved for each higher priority, so that a burst of lower ones leaves calls
 * for claims. Thread-safe.
 */
public final class CallBudget {

	private static final double CATALOGUE_RESERVE = 0.2;

	private static final double BACKGROUND_RESERVE = 0.5;

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private final MonotonicClock clock;

	private final double callsPerSecond;

	private final double capacity;

	private double tokens;

	private long refilledAt;

	/**
	 * Creates a full budget.
	 * @param clock the clock
	 * @param callsPerSecond the calls per second
	 */
	public CallBudget(MonotonicClock clock, int callsPerSecond) {
		this.clock = clock;
		this.callsPerSecond = callsPerSecond;
		this.capacity = Math.max(callsPerSecond, 2);
		this.tokens = this.capacity;
		this.refilledAt = clock.nanoTime();
	}

	/**
	 * Takes one call from the budget.
	 * @param priority the rank of the call
	 * @return {@code false} if the call must not be made now
	 */
	public synchronized boolean tryAcquire(StorePriority priority) {
		refill();
		if (this.tokens - 1 < reserve(priority) * this.capacity) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

	private void refill() {
		long now = this.clock.nanoTime();
		double added = (now - this.refilledAt) * this.callsPerSecond / NANOS_PER_SECOND;
		this.tokens = Math.min(this.capacity, this.tokens + added);
		this.refilledAt = now;
	}

	private static double reserve(StorePriority priority) {
		return switch (priority) {
			case CLAIM -> 0;
			case CATALOGUE -> CATALOGUE_RESERVE;
			case BACKGROUND -> BACKGROUND_RESERVE;
		};
	}

}
