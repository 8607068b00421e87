package org.cyclamenstall.internal.policy.upstream;

import java.util.List;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/**
 * Samples a few random eligible upstreams and selects the one with the lowest expected
 * time to the first token. Skips ineligible upstreams, so that one is found if any is
 * eligible. Among upstreams with similar times, prefers one in the failure domain of this
 * daemon. Not thread-safe.
 */
public final class ExpectedLatencySelector implements UpstreamSelector {

	private static final int MAXIMUM_CANDIDATES = 4;

	private static final double EQUALITY_TOLERANCE = 0.05;

	private final UniformRandomProvider random;

	private final String failureDomain;

	/**
	 * Creates a selector.
	 * @param random the source of randomness
	 * @param failureDomain the failure domain of this daemon
	 */
	public ExpectedLatencySelector(UniformRandomProvider random, String failureDomain) {
		this.random = random;
		this.failureDomain = failureDomain;
	}

	@Override
	public @Nullable Upstream select(List<Upstream> upstreams, Predicate<Upstream> eligible,
			LatencyHistogram serviceLatency, long nowNanos) {
		int count = upstreams.size();
		if (count == 0) {
			return null;
		}
		int start = this.random.nextInt(count);
		int stride = stride(count);
		Upstream best = null;
		double bestNanos = Double.MAX_VALUE;
		int found = 0;
		for (int checked = 0; checked < count && found < MAXIMUM_CANDIDATES; checked++) {
			Upstream candidate = upstreams.get((int) ((start + (long) checked * stride) % count));
			if (!eligible.test(candidate)) {
				continue;
			}
			found++;
			double expectedNanos = candidate.expectedFirstTokenNanos(serviceLatency, nowNanos);
			if (best == null || isBetter(candidate, expectedNanos, best, bestNanos)) {
				best = candidate;
				bestNanos = expectedNanos;
			}
		}
		return best;
	}

	/**
	 * Returns a random stride that visits every upstream once.
	 * @param count the number of upstreams
	 * @return a stride that is coprime to the number of upstreams
	 */
	private int stride(int count) {
		int stride = (count > 2) ? 1 + this.random.nextInt(count - 1) : 1;
		while (greatestCommonDivisor(stride, count) != 1) {
			stride = stride % (count - 1) + 1;
		}
		return stride;
	}

	private static int greatestCommonDivisor(int a, int b) {
		return (b == 0) ? a : greatestCommonDivisor(b, a % b);
	}

	private boolean isBetter(Upstream candidate, double expectedNanos, Upstream best, double bestNanos) {
		if (Math.abs(expectedNanos - bestNanos) > EQUALITY_TOLERANCE * bestNanos) {
			return expectedNanos < bestNanos;
		}
		return isInSameDomain(candidate) && !isInSameDomain(best);
	}

	private boolean isInSameDomain(Upstream upstream) {
		return upstream.host().failureDomain().equals(this.failureDomain);
	}

}
