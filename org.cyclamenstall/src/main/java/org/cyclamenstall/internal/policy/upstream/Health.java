package org.cyclamenstall.internal.policy.upstream;

/**
 * Tracks whether an upstream accepts requests. An upstream can be unavailable because it
 * drains or is unreachable, ejected because of slowness or failures, or half-open, in
 * which case it receives one request at a time. Not thread-safe.
 */
public final class Health {

	private static final long BASE_UNREACHABLE_NANOS = 250_000_000L;

	private static final long MAXIMUM_UNREACHABLE_NANOS = 8_000_000_000L;

	private static final long DRAINING_NANOS = 60_000_000_000L;

	private static final long BASE_EJECTION_NANOS = 5_000_000_000L;

	private static final long MAXIMUM_EJECTION_NANOS = 60_000_000_000L;

	private static final int EJECTION_FAILURES = 3;

	private boolean unavailable;

	private boolean ejected;

	private boolean halfOpen;

	/** End of the unavailability or of the ejection. */
	private long untilNanos;

	private int consecutiveUnreachable;

	private int consecutiveEjections;

	private int consecutiveFailures;

	/**
	 * Records a failed connection attempt. The upstream becomes unavailable for a time
	 * that doubles with each consecutive failed connection.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void recordUnreachable(long nowNanos) {
		long durationNanos = Math.min(BASE_UNREACHABLE_NANOS << Math.min(this.consecutiveUnreachable, 16),
				MAXIMUM_UNREACHABLE_NANOS);
		this.consecutiveUnreachable++;
		markUnavailable(nowNanos + durationNanos);
	}

	/**
	 * Records that the upstream reported that it is draining.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void recordDraining(long nowNanos) {
		markUnavailable(nowNanos + DRAINING_NANOS);
	}

	private void markUnavailable(long endNanos) {
		if (!this.unavailable || endNanos - this.untilNanos > 0) {
			this.untilNanos = endNanos;
		}
		this.unavailable = true;
		this.halfOpen = true;
	}

	/**
	 * Ends the unavailability after the host list reported a leaving upstream as live
	 * again. An ejection and the half-open state remain.
	 */
	public void recordRelisted() {
		this.unavailable = false;
		this.consecutiveUnreachable = 0;
	}

	/**
	 * Ejects the upstream for a time that doubles with each consecutive ejection, up to a
	 * maximum. If it is unavailable, the ejection ends together with the unavailability.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void eject(long nowNanos) {
		long durationNanos = Math.min(BASE_EJECTION_NANOS << Math.min(this.consecutiveEjections, 16),
				MAXIMUM_EJECTION_NANOS);
		this.consecutiveEjections++;
		this.ejected = true;
		this.halfOpen = true;
		this.consecutiveFailures = 0;
		if (!this.unavailable) {
			this.untilNanos = nowNanos + durationNanos;
		}
	}

	/**
	 * Records a failed attempt.
	 * @return {@code true} if the upstream should be ejected, because it is half-open or
	 * has reached the limit of consecutive failures
	 */
	public boolean recordFailure() {
		this.consecutiveFailures++;
		return this.consecutiveFailures >= EJECTION_FAILURES || this.halfOpen;
	}

	/**
	 * Records a successful attempt. Ends the half-open state unless the upstream is
	 * unavailable or ejected.
	 */
	public void recordSuccess() {
		this.consecutiveFailures = 0;
		this.consecutiveUnreachable = 0;
		if (!this.unavailable && !this.ejected) {
			this.halfOpen = false;
			this.consecutiveEjections = 0;
		}
	}

	/**
	 * Returns whether the upstream is unavailable because it is draining or unreachable.
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} if it is unavailable
	 */
	public boolean isUnavailable(long nowNanos) {
		clearIfExpired(nowNanos);
		return this.unavailable;
	}

	/**
	 * Returns whether the upstream is ejected.
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} if it is ejected
	 */
	public boolean isEjected(long nowNanos) {
		clearIfExpired(nowNanos);
		return this.ejected;
	}

	/**
	 * Returns whether the upstream is half-open: no attempt has succeeded since it was
	 * last unavailable or ejected.
	 * @return {@code true} if it receives one request at a time
	 */
	public boolean isHalfOpen() {
		return this.halfOpen;
	}

	/**
	 * Returns whether the upstream may receive another request.
	 * @param nowNanos the time on the monotonic clock
	 * @param probeInFlight whether a probe request is in flight
	 * @return {@code true} if it may
	 */
	public boolean acceptsRequests(long nowNanos, boolean probeInFlight) {
		clearIfExpired(nowNanos);
		return !this.unavailable && !this.ejected && !(this.halfOpen && probeInFlight);
	}

	private void clearIfExpired(long nowNanos) {
		if ((this.unavailable || this.ejected) && nowNanos - this.untilNanos >= 0) {
			this.unavailable = false;
			this.ejected = false;
		}
	}

}
