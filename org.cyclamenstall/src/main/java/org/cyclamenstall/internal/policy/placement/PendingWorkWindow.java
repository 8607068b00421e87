package org.cyclamenstall.internal.policy.placement;

/**
 * Limits the work in prompt tokens that is pending at one upstream, that is, sent but
 * without a first event yet: that of all daemons whose load is known. Under overload,
 * requests that queue inside an upstream can neither be reordered nor rejected and delay
 * all later ones. The window is a multiple of a reference that depends on the request; it
 * shrinks when first events arrive late relative to their objective, and grows when they
 * arrive early. Not thread-safe.
 */
final class PendingWorkWindow {

	/** Ratio to record for an attempt that timed out or lost its connection. */
	static final double NOT_RECEIVED_RATIO = Double.MAX_VALUE;

	private static final double INITIAL_SCALE = 1;

	private static final double MINIMUM_SCALE = 0.125;

	private static final double MAXIMUM_SCALE = 3;

	/** Share of the objective above which a first event counts as late. */
	private static final double LATE_RATIO = 0.6;

	/** Share of the objective below which a first event counts as early. */
	private static final double EARLY_RATIO = 0.35;

	private static final double SHRINK_FACTOR = 0.85;

	/** Growth of the scale with each early first event. */
	private static final double GROWTH = 0.035;

	private static final long SHRINK_INTERVAL_NANOS = 100_000_000L;

	private double scale = INITIAL_SCALE;

	private long lastShrunkAtNanos = Long.MIN_VALUE / 2;

	/**
	 * Returns whether more work fits into the window.
	 * @param pending the pending work
	 * @param additional the work to add
	 * @param referenceTokens the size of a window that was neither shrunk nor grown
	 * @return {@code true} if it fits, or if nothing is pending
	 */
	boolean fits(double pending, double additional, double referenceTokens) {
		return pending <= 0 || pending + additional <= sizeTokens(referenceTokens);
	}

	/**
	 * Records the latency of a first event.
	 * @param objectiveRatio the latency divided by its objective, or
	 * {@link #NOT_RECEIVED_RATIO}
	 * @param nowNanos the time on the monotonic clock
	 */
	void recordFirstEvent(double objectiveRatio, long nowNanos) {
		if (objectiveRatio < EARLY_RATIO) {
			this.scale = Math.min(MAXIMUM_SCALE, this.scale + GROWTH);
		}
		else if (objectiveRatio > LATE_RATIO && nowNanos - this.lastShrunkAtNanos > SHRINK_INTERVAL_NANOS) {
			this.scale = Math.max(MINIMUM_SCALE, this.scale * SHRINK_FACTOR);
			this.lastShrunkAtNanos = nowNanos;
		}
	}

	double sizeTokens(double referenceTokens) {
		return this.scale * referenceTokens;
	}

}
