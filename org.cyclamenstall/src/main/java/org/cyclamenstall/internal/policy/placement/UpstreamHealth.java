package org.cyclamenstall.internal.policy.placement;

import java.util.concurrent.TimeUnit;

/**
 * Tracks the health of an upstream by the results of attempts (passive health checking).
 * This detects upstreams that crash, stop responding or fail some requests while their
 * active health check succeeds. Unreachable upstreams and those with several consecutive
 * failures are ejected for a time that doubles with each consecutive ejection. The share
 * of failed attempts also adds to the placement cost of an upstream. Not thread-safe.
 */
final class UpstreamHealth {

	private static final long BASE_EJECTION_NANOS = 300_000_000L;

	private static final long MAXIMUM_EJECTION_NANOS = 4_000_000_000L;

	private static final double RESULT_WEIGHT = 0.15;

	/** Half-life of the failure share while no results are recorded. */
	private static final double HALF_LIFE_NANOS = 3e9;

	private static final int EJECTION_FAILURES = 3;

	private static final int MAXIMUM_DOUBLINGS = 8;

	private double failureShare;

	private long failureShareAtNanos;

	private int consecutiveFailures;

	private int consecutiveEjections;

	private boolean ejected;

	private long ejectedUntilNanos;

	/**
	 * Records a successful attempt, which ends an ejection.
	 * @param nowNanos the time on the monotonic clock
	 */
	void recordSuccess(long nowNanos) {
		this.consecutiveFailures = 0;
		this.consecutiveEjections = 0;
		this.ejected = false;
		record(0, nowNanos);
	}

	/**
	 * Records an attempt that failed or whose response was invalid.
	 * @param nowNanos the time on the monotonic clock
	 */
	void recordFailure(long nowNanos) {
		record(1, nowNanos);
		this.consecutiveFailures++;
		if (this.consecutiveFailures >= EJECTION_FAILURES) {
			eject(nowNanos);
		}
	}

	/**
	 * Records a failed connection attempt, which ejects the upstream.
	 * @param nowNanos the time on the monotonic clock
	 */
	void recordUnreachable(long nowNanos) {
		record(1, nowNanos);
		eject(nowNanos);
	}

	/**
	 * Returns whether the upstream is ejected.
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} during an ejection
	 */
	boolean isEjected(long nowNanos) {
		return this.ejected && nowNanos - this.ejectedUntilNanos < 0;
	}

	/**
	 * Returns the remaining ejection time.
	 * @param nowNanos the time on the monotonic clock
	 * @return the time in milliseconds, or zero if the upstream is not ejected
	 */
	long remainingEjectionMillis(long nowNanos) {
		return isEjected(nowNanos) ? TimeUnit.NANOSECONDS.toMillis(this.ejectedUntilNanos - nowNanos) : 0;
	}

	/**
	 * Returns whether the upstream is half-open: its ejection time has elapsed and no
	 * attempt has succeeded since. A half-open upstream receives one request at a time.
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} if it is half-open
	 */
	boolean isHalfOpen(long nowNanos) {
		return this.ejected && !isEjected(nowNanos);
	}

	/**
	 * Returns the share of recent attempts that failed.
	 * @param nowNanos the time on the monotonic clock
	 * @return the share, from 0 to 1
	 */
	double failureShare(long nowNanos) {
		return this.failureShare * Math.pow(0.5, (nowNanos - this.failureShareAtNanos) / HALF_LIFE_NANOS);
	}

	private void record(double outcome, long nowNanos) {
		this.failureShare = failureShare(nowNanos) * (1 - RESULT_WEIGHT) + outcome * RESULT_WEIGHT;
		this.failureShareAtNanos = nowNanos;
	}

	private void eject(long nowNanos) {
		if (isEjected(nowNanos)) {
			return;
		}
		this.ejected = true;
		this.ejectedUntilNanos = nowNanos + Math.min(MAXIMUM_EJECTION_NANOS,
				BASE_EJECTION_NANOS << Math.min(this.consecutiveEjections, MAXIMUM_DOUBLINGS));
		this.consecutiveEjections++;
	}

}
