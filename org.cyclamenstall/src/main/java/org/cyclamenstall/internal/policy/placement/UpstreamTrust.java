package org.cyclamenstall.internal.policy.placement;

import java.util.concurrent.TimeUnit;

/**
 * Judges an upstream by the ends of attempts. Answers the load patterns of upstreams that
 * crash, fall silent, or fail part of their requests while their health check is good. An
 * unreachable upstream is left alone for a pause that doubles; one that fails often is
 * made expensive in proportion. Not thread-safe.
 */
final class UpstreamTrust {

	private static final long FIRST_PAUSE_NANOS = 300_000_000L;

	private static final long LONGEST_PAUSE_NANOS = 4_000_000_000L;

	private static final double FAILURE_WEIGHT = 0.15;

	/** The share of failures halves in this time without news. */
	private static final double HALF_LIFE_NANOS = 3e9;

	private static final int FAILURES_IN_A_ROW = 3;

	private static final int LARGEST_SHIFT = 8;

	private double failureShare;

	private long failureShareAtNanos;

	private int failuresInARow;

	private int pauses;

	private boolean paused;

	private long pausedUntilNanos;

	/**
	 * Takes an attempt that went well.
	 * @param nowNanos the time on the monotonic clock
	 */
	void succeeded(long nowNanos) {
		this.failuresInARow = 0;
		this.pauses = 0;
		this.paused = false;
		record(0, nowNanos);
	}

	/**
	 * Takes an attempt that failed, or whose answer could not be used.
	 * @param nowNanos the time on the monotonic clock
	 */
	void failed(long nowNanos) {
		record(1, nowNanos);
		this.failuresInARow++;
		if (this.failuresInARow >= FAILURES_IN_A_ROW) {
			pause(nowNanos);
		}
	}

	/**
	 * Takes the news that no connection came about.
	 * @param nowNanos the time on the monotonic clock
	 */
	void unreachable(long nowNanos) {
		record(1, nowNanos);
		pause(nowNanos);
	}

	/**
	 * Returns whether the upstream is left alone now.
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} during a pause
	 */
	boolean isPaused(long nowNanos) {
		return this.paused && nowNanos - this.pausedUntilNanos < 0;
	}

	/**
	 * Returns how long the pause goes on.
	 * @param nowNanos the time on the monotonic clock
	 * @return the rest in milliseconds, or zero outside a pause
	 */
	long restOfPauseMillis(long nowNanos) {
		return isPaused(nowNanos) ? TimeUnit.NANOSECONDS.toMillis(this.pausedUntilNanos - nowNanos) : 0;
	}

	/**
	 * Returns whether the last pause is over and no attempt went well since: the upstream
	 * takes one request at a time.
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} if it is being tried
	 */
	boolean isOnTrial(long nowNanos) {
		return this.paused && !isPaused(nowNanos);
	}

	/**
	 * Returns the share of attempts that failed lately.
	 * @param nowNanos the time on the monotonic clock
	 * @return the share, from 0 to 1
	 */
	double failureShare(long nowNanos) {
		return this.failureShare * Math.pow(0.5, (nowNanos - this.failureShareAtNanos) / HALF_LIFE_NANOS);
	}

	private void record(double failure, long nowNanos) {
		this.failureShare = failureShare(nowNanos) * (1 - FAILURE_WEIGHT) + failure * FAILURE_WEIGHT;
		this.failureShareAtNanos = nowNanos;
	}

	private void pause(long nowNanos) {
		if (isPaused(nowNanos)) {
			return;
		}
		this.paused = true;
		this.pausedUntilNanos = nowNanos
				+ Math.min(LONGEST_PAUSE_NANOS, FIRST_PAUSE_NANOS << Math.min(this.pauses, LARGEST_SHIFT));
		this.pauses++;
	}

}
