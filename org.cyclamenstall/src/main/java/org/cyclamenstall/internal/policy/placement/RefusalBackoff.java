package org.cyclamenstall.internal.policy.placement;

/**
 * Leaves out an upstream that refuses requests. A refusal is quick, so that without this
 * an upstream that refuses looks idle and gets more requests than the others. The pause
 * doubles with each consecutive refusal; after it, one request at a time is sent until
 * one succeeds. Not thread-safe.
 */
final class RefusalBackoff {

	private static final long INITIAL_PAUSE_NANOS = 50_000_000L;

	private static final long MAXIMUM_PAUSE_NANOS = 1_000_000_000L;

	private static final int MAXIMUM_DOUBLINGS = 5;

	private int consecutiveRefusals;

	private long pausedUntilNanos;

	void recordRefusal(long nowNanos) {
		this.pausedUntilNanos = nowNanos + Math.min(MAXIMUM_PAUSE_NANOS,
				INITIAL_PAUSE_NANOS << Math.min(this.consecutiveRefusals, MAXIMUM_DOUBLINGS));
		this.consecutiveRefusals++;
	}

	void recordSuccess() {
		this.consecutiveRefusals = 0;
	}

	/**
	 * Returns whether the upstream should get another request.
	 * @param inFlight the number of requests of this daemon in flight there
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code false} during a pause, and after it while a request is in flight
	 */
	boolean allows(int inFlight, long nowNanos) {
		return this.consecutiveRefusals == 0 || (inFlight == 0 && nowNanos - this.pausedUntilNanos >= 0);
	}

}
