package org.cyclamenstall.internal.scaling;

import java.time.Duration;

import org.cyclamenstall.control.ControlResult;

/**
 * What is known of the orders of one {@link UpstreamKind}: the last one, which may still
 * be under way, and whether the platform has none to give. Not thread-safe.
 */
final class OrderState {

	/** Time after an unsuccessful order until the next one. */
	private static final long PAUSE_NANOS = Duration.ofSeconds(3).toNanos();

	/** Time beyond the boot time until an upstream that was ordered is listed. */
	private static final long LISTING_NANOS = Duration.ofSeconds(3).toNanos();

	private int orderedCount = -1;

	private long underWayUntilNanos;

	private boolean underWay;

	private boolean paused;

	private long pausedUntilNanos;

	/**
	 * Records an order and its result.
	 * @param count the number that was ordered
	 * @param result the result
	 * @param bootNanos the time after which a new upstream serves
	 * @param nowNanos the time
	 */
	void record(int count, ControlResult result, long bootNanos, long nowNanos) {
		if (result == ControlResult.ACCEPTED || result == ControlResult.UNKNOWN) {
			this.orderedCount = count;
			this.underWay = true;
			this.underWayUntilNanos = nowNanos + bootNanos + LISTING_NANOS;
		}
		else {
			pause(nowNanos);
		}
	}

	void pause(long nowNanos) {
		this.paused = true;
		this.pausedUntilNanos = nowNanos + PAUSE_NANOS;
		this.underWay = false;
	}

	boolean isPaused(long nowNanos) {
		this.paused &= nowNanos - this.pausedUntilNanos < 0;
		return this.paused;
	}

	/**
	 * Returns how many upstreams there will be when the last order is carried out.
	 * @param present the number that is listed and not leaving
	 * @param nowNanos the time
	 * @return the number
	 */
	int expected(int present, long nowNanos) {
		this.underWay &= nowNanos - this.underWayUntilNanos < 0;
		return this.underWay ? this.orderedCount : present;
	}

}
