package org.cyclamenstall.internal.policy.placement;

/**
 * Compares the first events of one upstream with those of its whole service. Answers the
 * load pattern of upstreams that work several times as slowly as their neighbours. Not
 * thread-safe.
 */
final class Slowness {

	private static final double WEIGHT = 0.2;

	/** The comparison loses half of its weight in this time without news. */
	private static final double HALF_LIFE_NANOS = 3e9;

	private static final double LARGEST = 8;

	private static final double LEAST = 0.5;

	private double logarithm;

	private long atNanos;

	/**
	 * Takes one first event.
	 * @param ratio its time against the usual time of the service
	 * @param nowNanos the time on the monotonic clock
	 */
	void record(double ratio, long nowNanos) {
		double bounded = Math.max(LEAST, Math.min(LARGEST, ratio));
		this.logarithm = current(nowNanos) * (1 - WEIGHT) + Math.log(bounded) * WEIGHT;
		this.atNanos = nowNanos;
	}

	/**
	 * Returns how many times as slow as usual the upstream is.
	 * @param nowNanos the time on the monotonic clock
	 * @return the factor
	 */
	double factor(long nowNanos) {
		return Math.exp(current(nowNanos));
	}

	void reset() {
		this.logarithm = 0;
	}

	private double current(long nowNanos) {
		return this.logarithm * Math.pow(0.5, (nowNanos - this.atNanos) / HALF_LIFE_NANOS);
	}

}
