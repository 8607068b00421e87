package org.cyclamenstall.internal.store;

import java.util.concurrent.TimeUnit;

import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.store.StorePriority;

/**
 * Limits the rate of store calls with a token bucket that holds the calls of one second.
 * A part of the bucket is reserved for higher priorities, so that a burst of other calls
 * cannot use up the budget for claims. Thread-safe.
 */
public final class CallBudget {

	/** The share of the bucket that calls of priority CATALOGUE must leave unused. */
	private static final double SHARE_RESERVED_ABOVE_CATALOGUE = 0.2;

	/** The share of the bucket that calls of priority BACKGROUND must leave unused. */
	private static final double SHARE_RESERVED_ABOVE_BACKGROUND = 0.5;

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private final MonotonicClock clock;

	private final double callsPerSecond;

	private final double capacity;

	private double tokens;

	private long lastRefillNanos;

	/**
	 * Creates a full budget.
	 * @param clock the clock
	 * @param callsPerSecond the maximum sustained rate in calls per second
	 */
	public CallBudget(MonotonicClock clock, int callsPerSecond) {
		this.clock = clock;
		this.callsPerSecond = callsPerSecond;
		// With a capacity of 1, the reserved share would block all calls but claims.
		this.capacity = Math.max(callsPerSecond, 2);
		this.tokens = this.capacity;
		this.lastRefillNanos = clock.nanoTime();
	}

	/**
	 * Acquires one call from the budget without waiting.
	 * @param priority the priority of the call
	 * @return {@code false} if the budget left to this priority is exhausted
	 */
	public synchronized boolean tryAcquire(StorePriority priority) {
		refill();
		if (this.tokens - 1 < shareReservedAbove(priority) * this.capacity) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

	private void refill() {
		long nowNanos = this.clock.nanoTime();
		double refilledTokens = (nowNanos - this.lastRefillNanos) * this.callsPerSecond / NANOS_PER_SECOND;
		this.tokens = Math.min(this.capacity, this.tokens + refilledTokens);
		this.lastRefillNanos = nowNanos;
	}

	private static double shareReservedAbove(StorePriority priority) {
		return switch (priority) {
			case CLAIM -> 0;
			case CATALOGUE -> SHARE_RESERVED_ABOVE_CATALOGUE;
			case BACKGROUND -> SHARE_RESERVED_ABOVE_BACKGROUND;
		};
	}

}
