package org.cyclamenstall.internal.policy.placement;

/**
 * Measures the rate at which requests of this daemon are dispatched to a service, to
 * estimate how long a request would wait. Work is counted in prompt tokens. Not
 * thread-safe.
 */
final class DispatchRate {

	private static final double HALF_LIFE_NANOS = 1e9;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double LN_2 = Math.log(2);

	private double decayedWork;

	private long updatedAtNanos;

	void recordDispatch(double work, long nowNanos) {
		this.decayedWork = decayedWorkAt(nowNanos) + work;
		this.updatedAtNanos = nowNanos;
	}

	/**
	 * Estimates how long it takes to dispatch an amount of work.
	 * @param work the work
	 * @param nowNanos the time on the monotonic clock
	 * @return the time in nanoseconds, or one second if nothing was dispatched yet
	 */
	double nanosFor(double work, long nowNanos) {
		double workPerNano = decayedWorkAt(nowNanos) * LN_2 / HALF_LIFE_NANOS;
		return (workPerNano > 0) ? work / workPerNano : NANOS_PER_SECOND;
	}

	private double decayedWorkAt(long nowNanos) {
		return this.decayedWork * Math.pow(0.5, (nowNanos - this.updatedAtNanos) / HALF_LIFE_NANOS);
	}

}
