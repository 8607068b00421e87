package org.cyclamenstall.internal.policy.upstream;

/**
 * Allows as many requests as the upstream has slots: the baseline. Immutable.
 */
public final class FixedWindow implements Window {

	@Override
	public int size(int slots) {
		return Math.max(1, slots);
	}

	@Override
	public void firstToken(long durationNanos, int inFlight) {
	}

	@Override
	public void tokenGap(long durationNanos) {
	}

	@Override
	public void refused() {
	}

}
