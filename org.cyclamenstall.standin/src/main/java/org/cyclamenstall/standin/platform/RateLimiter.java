package org.cyclamenstall.standin.platform;

import org.cyclamenstall.kernel.MonotonicClock;

/**
 * A token bucket that limits the rate of calls, with a burst capacity of one second.
 * Thread-safe.
 */
final class RateLimiter {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double permitsPerSecond;

	private final MonotonicClock clock;

	private double availablePermits;

	private long lastRefillNanos;

	RateLimiter(double permitsPerSecond, MonotonicClock clock) {
		this.permitsPerSecond = permitsPerSecond;
		this.clock = clock;
		this.availablePermits = permitsPerSecond;
		this.lastRefillNanos = clock.nanoTime();
	}

	synchronized boolean tryAcquire() {
		long nowNanos = this.clock.nanoTime();
		double addedPermits = (nowNanos - this.lastRefillNanos) / NANOS_PER_SECOND * this.permitsPerSecond;
		this.availablePermits = Math.min(this.permitsPerSecond, this.availablePermits + addedPermits);
		this.lastRefillNanos = nowNanos;
		if (this.availablePermits < 1) {
			return false;
		}
		this.availablePermits--;
		return true;
	}

}
