package org.cyclamenstall.internal.policy.placement;

/**
 * Bounds the work that this daemon keeps before the first event at one upstream. Answers
 * the load pattern of more work than a service can do: what waits inside an upstream can
 * be neither reordered nor turned away, and delays whatever comes after it. The window
 * shrinks when first events come late against their objective, and grows when they come
 * early; so the daemons share an upstream without a message. The unit is a prompt token.
 * Not thread-safe.
 */
final class LoadWindow {

	/** Stands for a first event that did not come. */
	static final double NEVER = Double.MAX_VALUE;

	private static final double INITIAL = 24_000;

	private static final double LEAST = 3_000;

	private static final double LARGEST = 80_000;

	/** The part of its objective after which a first event counts as late. */
	private static final double LATE_PART = 0.6;

	/** The part of its objective before which a first event counts as early. */
	private static final double EARLY_PART = 0.35;

	private static final double SHRINK = 0.85;

	private static final double GROWTH = 800;

	private static final long SHRINK_PAUSE_NANOS = 100_000_000L;

	private double size = INITIAL;

	private long shrunkAtNanos = Long.MIN_VALUE / 2;

	/**
	 * Returns whether more work fits.
	 * @param held the work that is held there
	 * @param more the work to add
	 * @return {@code true} if it fits, or if nothing is held
	 */
	boolean fits(double held, double more) {
		return held <= 0 || held + more <= this.size;
	}

	/**
	 * Takes one first event.
	 * @param part its time as a part of its objective
	 * @param nowNanos the time on the monotonic clock
	 */
	void firstEvent(double part, long nowNanos) {
		if (part < EARLY_PART) {
			this.size = Math.min(LARGEST, this.size + GROWTH);
		}
		else if (part > LATE_PART && nowNanos - this.shrunkAtNanos > SHRINK_PAUSE_NANOS) {
			this.size = Math.max(LEAST, this.size * SHRINK);
			this.shrunkAtNanos = nowNanos;
		}
	}

	double size() {
		return this.size;
	}

}
