package org.cyclamenstall.internal.kernel;

import java.time.Duration;

/**
 * Times of one graceful shutdown. All of them are derived from the time of the signal and
 * from the grace period, after which the process is killed, so that no part of the daemon
 * relies on time that another part does not grant. Immutable.
 *
 * @param startedAtNanos when the shutdown began, on the monotonic clock
 * @param gracePeriod the time from the signal until the process is killed
 */
public record ShutdownSchedule(long startedAtNanos, Duration gracePeriod) {

	/**
	 * Maximum time during which new requests are accepted, because callers need it to
	 * detect that the daemon is not ready.
	 */
	private static final Duration MAXIMUM_SETTLE_TIME = Duration.ofMillis(2_000);

	/** Maximum time during which the daemon listens although no request is open. */
	private static final Duration MAXIMUM_LISTENING_TIME = Duration.ofMillis(4_000);

	// The following are fractions of the grace period.
	private static final double MAXIMUM_SETTLE_FRACTION = 0.25;

	private static final double MAXIMUM_LISTENING_FRACTION = 0.5;

	private static final double RESPONSE_FRACTION = 0.85;

	private static final double END_FRACTION = 0.9;

	/**
	 * Returns whether new requests are still accepted.
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code false} if new requests are refused
	 */
	public boolean acceptsRequests(long nowNanos) {
		return elapsedNanos(nowNanos) < minimumNanos(MAXIMUM_SETTLE_TIME, MAXIMUM_SETTLE_FRACTION);
	}

	/**
	 * Returns whether the daemon must keep listening even if no request is open, so that
	 * callers that have not detected the shutdown get a response.
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code false} if it may stop listening
	 */
	public boolean mustListen(long nowNanos) {
		return elapsedNanos(nowNanos) < minimumNanos(MAXIMUM_LISTENING_TIME, MAXIMUM_LISTENING_FRACTION);
	}

	/**
	 * Returns the time until which an upstream may respond. Requests that are open at
	 * that time get a final response.
	 * @return the time on the monotonic clock
	 */
	public long responseDeadlineNanos() {
		return this.startedAtNanos + fractionNanos(RESPONSE_FRACTION);
	}

	/**
	 * Returns the time at which the process ends at the latest. The rest of the grace
	 * period is left to the virtual machine.
	 * @return the time on the monotonic clock
	 */
	public long endNanos() {
		return this.startedAtNanos + fractionNanos(END_FRACTION);
	}

	private long elapsedNanos(long nowNanos) {
		return nowNanos - this.startedAtNanos;
	}

	private long minimumNanos(Duration maximum, double maximumFraction) {
		return Math.min(maximum.toNanos(), fractionNanos(maximumFraction));
	}

	private long fractionNanos(double fraction) {
		return (long) (this.gracePeriod.toNanos() * fraction);
	}

}
