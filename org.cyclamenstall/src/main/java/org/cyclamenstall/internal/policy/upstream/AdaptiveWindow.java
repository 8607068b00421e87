package org.cyclamenstall.internal.policy.upstream;

/**
 * Grows while the time to the first token and the pause between tokens stay near their
 * own floors, and shrinks while they exceed them. The bound stays between one and the
 * slots of the upstream. Not thread-safe.
 */
public final class AdaptiveWindow implements Window {

	private static final double FIRST_TOKEN_TOLERANCE = 4;

	private static final double GAP_TOLERANCE = 4;

	private static final double DECREASE = 0.9;

	private static final double REFUSED_DECREASE = 0.7;

	private static final double FLOOR_DRIFT = 1.002;

	private static final int UNLIMITED = 1 << 20;

	private static final double LEAST_FLOOR_NANOS = 1_000_000;

	private double limit = UNLIMITED;

	private double firstTokenFloor = Double.MAX_VALUE;

	private double gapFloor = Double.MAX_VALUE;

	@Override
	public int size(int slots) {
		int bound = Math.max(1, slots);
		this.limit = Math.min(this.limit, bound);
		return Math.max(1, (int) this.limit);
	}

	@Override
	public void firstToken(long durationNanos, int inFlight) {
		this.firstTokenFloor = floor(this.firstTokenFloor, durationNanos);
		adjust(durationNanos > FIRST_TOKEN_TOLERANCE * this.firstTokenFloor, inFlight);
	}

	@Override
	public void tokenGap(long durationNanos) {
		if (durationNanos <= 0) {
			return;
		}
		this.gapFloor = floor(this.gapFloor, durationNanos);
		if (durationNanos > GAP_TOLERANCE * this.gapFloor) {
			this.limit = Math.max(1, this.limit * DECREASE);
		}
	}

	@Override
	public void refused() {
		this.limit = Math.max(1, this.limit * REFUSED_DECREASE);
	}

	private void adjust(boolean slow, int inFlight) {
		if (slow) {
			this.limit = Math.max(1, this.limit * DECREASE);
		}
		else if (inFlight >= (int) this.limit) {
			this.limit += 1 / this.limit;
		}
	}

	private static double floor(double floor, long sample) {
		double least = Math.max(sample, LEAST_FLOOR_NANOS);
		return (floor == Double.MAX_VALUE) ? least : Math.min(floor * FLOOR_DRIFT, least);
	}

}
