package org.cyclamenstall.internal.policy.upstream;

/**
 * Allows as many concurrent requests as the upstream has slots. Serves as the baseline
 * for other windows. Immutable.
 */
public final class FixedWindow implements Window {

	@Override
	public int size(int slots) {
		return Math.max(1, slots);
	}

	@Override
	public void recordFirstToken(long durationNanos, int inFlight) {
	}

	@Override
	public void recordTokenGap(long durationNanos) {
	}

	@Override
	public void recordRefusal() {
	}

}
