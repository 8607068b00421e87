package org.cyclamenstall.internal.policy.limits;

/**
 * Implements a token bucket for a rate limit. The level becomes negative if more is
 * consumed than was reserved; nothing is admitted until the bucket has refilled. Not
 * thread-safe.
 */
final class TokenBucket {

	private static final double BURST_SECONDS = 0.7;

	private static final double NANOS_PER_SECOND = 1e9;

	private final double minimumCapacity;

	private double level;

	private double capacity;

	private long refilledAtNanos;

	private boolean initialized;

	TokenBucket(double minimumCapacity) {
		this.minimumCapacity = minimumCapacity;
	}

	void refill(double ratePerSecond, long nowNanos) {
		this.capacity = Math.max(this.minimumCapacity, ratePerSecond * BURST_SECONDS);
		if (this.initialized) {
			this.level += ratePerSecond * (nowNanos - this.refilledAtNanos) / NANOS_PER_SECOND;
		}
		else {
			this.level = this.capacity;
			this.initialized = true;
		}
		this.level = Math.min(this.level, this.capacity);
		this.refilledAtNanos = nowNanos;
	}

	/**
	 * Empties the bucket; the next refill fills it completely. Called while no limit is
	 * set.
	 */
	void clear() {
		this.initialized = false;
		this.level = 0;
	}

	/**
	 * Returns whether an amount may be consumed.
	 * @param amount the amount
	 * @return {@code true} if the bucket holds the amount, or is full if the amount
	 * exceeds its capacity
	 */
	boolean hasTokens(double amount) {
		return this.level >= Math.min(amount, this.capacity);
	}

	void consume(double amount) {
		this.level -= amount;
	}

}
