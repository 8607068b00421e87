package org.cyclamenstall.internal.policy.upstream;

/**
 * Adjusts the window by additive increase and multiplicative decrease. The window grows
 * while it is in full use and the time to the first token stays below a multiple of its
 * recent minimum, the floor. It shrinks when that time or the token gap exceeds a
 * multiple of its floor, or when the upstream refuses a request. Its size is between one
 * and the number of slots of the upstream. Not thread-safe.
 */
public final class AdaptiveWindow implements Window {

	private static final double FIRST_TOKEN_TOLERANCE_FACTOR = 4;

	private static final double GAP_TOLERANCE_FACTOR = 4;

	private static final double DECREASE_FACTOR = 0.9;

	private static final double REFUSAL_DECREASE_FACTOR = 0.7;

	/**
	 * Maximum increase of a floor per sample, so that the floor follows a lasting rise of
	 * the latency.
	 */
	private static final double FLOOR_DRIFT_FACTOR = 1.002;

	private static final int UNLIMITED = 1 << 20;

	private static final double MINIMUM_FLOOR_NANOS = 1_000_000;

	private double limit = UNLIMITED;

	private double firstTokenFloorNanos = Double.MAX_VALUE;

	private double gapFloorNanos = Double.MAX_VALUE;

	@Override
	public int size(int slots) {
		int maximum = Math.max(1, slots);
		this.limit = Math.min(this.limit, maximum);
		return Math.max(1, (int) this.limit);
	}

	@Override
	public void recordFirstToken(long durationNanos, int inFlight) {
		this.firstTokenFloorNanos = updatedFloor(this.firstTokenFloorNanos, durationNanos);
		adjust(durationNanos > FIRST_TOKEN_TOLERANCE_FACTOR * this.firstTokenFloorNanos, inFlight);
	}

	@Override
	public void recordTokenGap(long durationNanos) {
		if (durationNanos <= 0) {
			return;
		}
		this.gapFloorNanos = updatedFloor(this.gapFloorNanos, durationNanos);
		if (durationNanos > GAP_TOLERANCE_FACTOR * this.gapFloorNanos) {
			this.limit = Math.max(1, this.limit * DECREASE_FACTOR);
		}
	}

	@Override
	public void recordRefusal() {
		this.limit = Math.max(1, this.limit * REFUSAL_DECREASE_FACTOR);
	}

	private void adjust(boolean slow, int inFlight) {
		if (slow) {
			this.limit = Math.max(1, this.limit * DECREASE_FACTOR);
		}
		else if (inFlight >= (int) this.limit) {
			this.limit += 1 / this.limit;
		}
	}

	private static double updatedFloor(double previousNanos, long sampleNanos) {
		double clamped = Math.max(sampleNanos, MINIMUM_FLOOR_NANOS);
		return (previousNanos == Double.MAX_VALUE) ? clamped : Math.min(previousNanos * FLOOR_DRIFT_FACTOR, clamped);
	}

}
