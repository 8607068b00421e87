package org.cyclamenstall.internal.policy.limits;

/**
 * Estimates a rate as an exponentially decaying average. Not thread-safe.
 */
final class RateMeter {

	private static final double TIME_CONSTANT_SECONDS = 2;

	private static final double NANOS_PER_SECOND = 1e9;

	private double decayedSum;

	private long updatedAtNanos;

	void add(double amount, long nowNanos) {
		decay(nowNanos);
		this.decayedSum += amount;
	}

	double ratePerSecond(long nowNanos) {
		decay(nowNanos);
		return this.decayedSum / TIME_CONSTANT_SECONDS;
	}

	private void decay(long nowNanos) {
		double seconds = Math.max(0, (nowNanos - this.updatedAtNanos) / NANOS_PER_SECOND);
		this.decayedSum *= Math.exp(-seconds / TIME_CONSTANT_SECONDS);
		this.updatedAtNanos = nowNanos;
	}

}
