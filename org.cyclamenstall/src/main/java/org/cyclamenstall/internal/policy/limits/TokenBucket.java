package org.cyclamenstall.internal.policy.limits;

/**
 * Meters a rate. The level may fall below zero when more was used than was reserved; then
 * nothing is admitted until the debt is paid. Not thread-safe.
 */
final class TokenBucket {

	private static final double BURST_SECONDS = 0.7;

	private static final double NANOS_PER_SECOND = 1e9;

	private final double leastCapacity;

	private double level;

	private double capacity;

	private long filledAtNanos;

	private boolean filled;

	TokenBucket(double leastCapacity) {
		this.leastCapacity = leastCapacity;
	}

	void refill(double ratePerSecond, long nowNanos) {
		this.capacity = Math.max(this.leastCapacity, ratePerSecond * BURST_SECONDS);
		if (this.filled) {
			this.level += ratePerSecond * (nowNanos - this.filledAtNanos) / NANOS_PER_SECOND;
		}
		else {
			this.level = this.capacity;
			this.filled = true;
		}
		this.level = Math.min(this.level, this.capacity);
		this.filledAtNanos = nowNanos;
	}

	void clear() {
		this.filled = false;
		this.level = 0;
	}

	boolean has(double amount) {
		return this.level >= Math.min(amount, this.capacity);
	}

	void take(double amount) {
		this.level -= amount;
	}

}
