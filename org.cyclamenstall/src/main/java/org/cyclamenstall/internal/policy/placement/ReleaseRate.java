package org.cyclamenstall.internal.policy.placement;

/**
 * Measures how fast a service takes work from this daemon, to estimate how long a request
 * would wait. The unit is a prompt token. Not thread-safe.
 */
final class ReleaseRate {

	private static final double HALF_LIFE_NANOS = 1e9;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double LN_2 = Math.log(2);

	private double weighted;

	private long atNanos;

	void released(double work, long nowNanos) {
		this.weighted = decayed(nowNanos) + work;
		this.atNanos = nowNanos;
	}

	/**
	 * Estimates how long an amount of work takes.
	 * @param work the work
	 * @param nowNanos the time on the monotonic clock
	 * @return the time in nanoseconds
	 */
	double nanosFor(double work, long nowNanos) {
		double perNano = decayed(nowNanos) * LN_2 / HALF_LIFE_NANOS;
		return (perNano > 0) ? work / perNano : NANOS_PER_SECOND;
	}

	private double decayed(long nowNanos) {
		return this.weighted * Math.pow(0.5, (nowNanos - this.atNanos) / HALF_LIFE_NANOS);
	}

}
