package org.cyclamenstall.internal.policy.placement;

/**
 * Tracks the time to the first event of one upstream relative to the average of all
 * upstreams of the service for the same catalogue entry, to detect upstreams that are
 * several times slower than the others. Not thread-safe.
 */
final class RelativeLatency {

	private static final double SAMPLE_WEIGHT = 0.2;

	/** Half-life of the average while no events are recorded. */
	private static final double HALF_LIFE_NANOS = 3e9;

	private static final double MAXIMUM_RATIO = 8;

	private static final double MINIMUM_RATIO = 0.5;

	private double averageLogarithm;

	private long updatedAtNanos;

	/**
	 * Records a first event.
	 * @param ratio the latency of the event divided by the average of its catalogue entry
	 * @param nowNanos the time on the monotonic clock
	 */
	void record(double ratio, long nowNanos) {
		double clamped = Math.max(MINIMUM_RATIO, Math.min(MAXIMUM_RATIO, ratio));
		this.averageLogarithm = decayedLogarithm(nowNanos) * (1 - SAMPLE_WEIGHT) + Math.log(clamped) * SAMPLE_WEIGHT;
		this.updatedAtNanos = nowNanos;
	}

	/**
	 * Returns the latency factor of the upstream.
	 * @param nowNanos the time on the monotonic clock
	 * @return the latency relative to all upstreams of the service, where 1 is average
	 */
	double factor(long nowNanos) {
		return Math.exp(decayedLogarithm(nowNanos));
	}

	void reset() {
		this.averageLogarithm = 0;
	}

	private double decayedLogarithm(long nowNanos) {
		return this.averageLogarithm * Math.pow(0.5, (nowNanos - this.updatedAtNanos) / HALF_LIFE_NANOS);
	}

}
