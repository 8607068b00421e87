package org.cyclamenstall.internal.policy.limits;

/**
 * Estimates a rate with exponential decay. Not thread-safe.
 */
final class RateMeter {

	private static final double DECAY_SECONDS = 2;

	private static final double NANOS_PER_SECOND = 1e9;

	private double level;

	private long changedAtNanos;

	void add(double amount, long nowNanos) {
		decay(nowNanos);
		this.level += amount;
	}

	double ratePerSecond(long nowNanos) {
		decay(nowNanos);
		return this.level / DECAY_SECONDS;
	}

	private void decay(long nowNanos) {
		double seconds = Math.max(0, (nowNanos - this.changedAtNanos) / NANOS_PER_SECOND);
		this.level *= Math.exp(-seconds / DECAY_SECONDS);
		this.changedAtNanos = nowNanos;
	}

}
