package org.cyclamenstall.internal.policy.placement;

/**
 * Compares how fast events of an engine come with how fast its streams need them to end
 * in time. Answers the load pattern of prompts without a break: an engine that reads all
 * the time still begins every request soon, but hardly any stream ends. Not thread-safe.
 */
final class EventPace {

	/** The measured need loses half of its weight in this time. */
	private static final double HALF_LIFE_NANOS = 0.5e9;

	/** After this time without events the measured need fades. */
	private static final double FADE_AFTER_NANOS = 1e9;

	/** The part of the needed pace from which an engine takes no more long prompts. */
	private static final double STRAINED = 1.7;

	private static final double LARGEST_RATIO = 3;

	private double ratio;

	private long atNanos;

	/**
	 * Takes the gap before an event.
	 * @param gapNanos the gap
	 * @param allowedNanos the gap with which the stream just ends in time
	 * @param nowNanos the time on the monotonic clock
	 */
	void event(double gapNanos, double allowedNanos, long nowNanos) {
		double sample = Math.min(LARGEST_RATIO, gapNanos / Math.max(1, allowedNanos));
		double kept = Math.pow(0.5, (nowNanos - this.atNanos) / HALF_LIFE_NANOS);
		this.ratio = this.ratio * kept + sample * (1 - kept);
		this.atNanos = nowNanos;
	}

	boolean isStrained(long nowNanos) {
		return current(nowNanos) > STRAINED;
	}

	double current(long nowNanos) {
		double silentNanos = Math.max(0, nowNanos - this.atNanos - FADE_AFTER_NANOS);
		return this.ratio * Math.pow(0.5, silentNanos / HALF_LIFE_NANOS);
	}

}
