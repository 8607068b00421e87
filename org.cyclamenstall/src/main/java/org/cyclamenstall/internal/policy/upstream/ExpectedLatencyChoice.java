package org.cyclamenstall.internal.policy.upstream;

import java.util.List;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/**
 * Takes the least expected time to the first token out of a few random upstreams, and of
 * equal ones the nearest. Looks at all upstreams if none of the few is eligible. Not
 * thread-safe.
 */
public final class ExpectedLatencyChoice implements UpstreamChoice {

	private static final int CANDIDATES = 4;

	private static final double EQUAL_WITHIN = 0.05;

	private final UniformRandomProvider random;

	private final String failureDomain;

	/**
	 * Creates a choice.
	 * @param random the source of randomness
	 * @param failureDomain the failure domain of this daemon
	 */
	public ExpectedLatencyChoice(UniformRandomProvider random, String failureDomain) {
		this.random = random;
		this.failureDomain = failureDomain;
	}

	@Override
	public @Nullable Upstream choose(List<Upstream> upstreams, Predicate<Upstream> eligible, LatencyWindow usual,
			long nowNanos) {
		int count = upstreams.size();
		if (count == 0) {
			return null;
		}
		int start = this.random.nextInt(count);
		int stride = stride(count);
		Upstream best = null;
		double bestNanos = Double.MAX_VALUE;
		int found = 0;
		for (int tried = 0; tried < count && found < CANDIDATES; tried++) {
			Upstream candidate = upstreams.get((int) ((start + (long) tried * stride) % count));
			if (!eligible.test(candidate)) {
				continue;
			}
			found++;
			double expectedNanos = candidate.expectedFirstTokenNanos(usual, nowNanos);
			if (best == null || isBetter(candidate, expectedNanos, best, bestNanos)) {
				best = candidate;
				bestNanos = expectedNanos;
			}
		}
		return best;
	}

	private int stride(int count) {
		int stride = (count > 2) ? 1 + this.random.nextInt(count - 1) : 1;
		while (greatestCommonDivisor(stride, count) != 1) {
			stride = stride % (count - 1) + 1;
		}
		return stride;
	}

	private static int greatestCommonDivisor(int one, int other) {
		return (other == 0) ? one : greatestCommonDivisor(other, one % other);
	}

	private boolean isBetter(Upstream candidate, double expectedNanos, Upstream best, double bestNanos) {
		if (Math.abs(expectedNanos - bestNanos) > EQUAL_WITHIN * bestNanos) {
			return expectedNanos < bestNanos;
		}
		return isNear(candidate) && !isNear(best);
	}

	private boolean isNear(Upstream upstream) {
		return upstream.host().failureDomain().equals(this.failureDomain);
	}

}
