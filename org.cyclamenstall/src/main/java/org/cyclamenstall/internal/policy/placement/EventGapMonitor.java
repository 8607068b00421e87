package org.cyclamenstall.internal.policy.placement;

/**
 * Tracks the gaps between stream events of an engine relative to the longest gaps with
 * which its streams still complete in time. Under a continuous flow of prompts, an engine
 * that is always busy with prefill still starts every request promptly but completes
 * hardly any stream. Not thread-safe.
 */
final class EventGapMonitor {

	/** Half-life of the weight of earlier gaps. */
	private static final double HALF_LIFE_NANOS = 0.5e9;

	/** Time without events after which the ratio starts to decay. */
	private static final double IDLE_GRACE_NANOS = 1e9;

	/** Ratio above which no more long prompts are sent to an engine. */
	private static final double OVERLOAD_RATIO = 1.7;

	private static final double MAXIMUM_RATIO = 3;

	private double ratio;

	private long updatedAtNanos;

	/**
	 * Records the gap before an event.
	 * @param gapNanos the gap since the previous event of the stream
	 * @param allowedNanos the longest gap with which the stream completes in time
	 * @param nowNanos the time on the monotonic clock
	 */
	void recordGap(double gapNanos, double allowedNanos, long nowNanos) {
		double sample = Math.min(MAXIMUM_RATIO, gapNanos / Math.max(1, allowedNanos));
		double decay = Math.pow(0.5, (nowNanos - this.updatedAtNanos) / HALF_LIFE_NANOS);
		this.ratio = this.ratio * decay + sample * (1 - decay);
		this.updatedAtNanos = nowNanos;
	}

	boolean isOverloaded(long nowNanos) {
		return currentRatio(nowNanos) > OVERLOAD_RATIO;
	}

	double currentRatio(long nowNanos) {
		double idleNanos = Math.max(0, nowNanos - this.updatedAtNanos - IDLE_GRACE_NANOS);
		return this.ratio * Math.pow(0.5, idleNanos / HALF_LIFE_NANOS);
	}

}
