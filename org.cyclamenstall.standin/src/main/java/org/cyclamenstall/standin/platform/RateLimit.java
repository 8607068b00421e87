package org.cyclamenstall.standin.platform;

import org.cyclamenstall.kernel.MonotonicClock;

/**
 * Admits calls up to a rate, with a burst of one second. Thread-safe.
 */
final class RateLimit {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double perSecond;

	private final MonotonicClock clock;

	private double available;

	private long filledAt;

	RateLimit(double perSecond, MonotonicClock clock) {
		this.perSecond = perSecond;
		this.clock = clock;
		this.available = perSecond;
		this.filledAt = clock.nanoTime();
	}

	synchronized boolean tryAcquire() {
		long now = this.clock.nanoTime();
		double added = (now - this.filledAt) / NANOS_PER_SECOND * this.perSecond;
		this.available = Math.min(this.perSecond, this.available + added);
		this.filledAt = now;
		if (this.available < 1) {
			return false;
		}
		this.available--;
		return true;
	}

}
