package org.cyclamenstall.internal.policy;

import java.util.List;

import org.cyclamenstall.internal.policy.upstream.LatencyHistogram;
import org.cyclamenstall.internal.policy.upstream.Upstream;

/**
 * Ejects upstreams that are slow or fail, at most one third of the pool at a time. An
 * upstream is slow if its time to the first token is far above that of the whole pool.
 * Performs no I/O. Immutable.
 */
final class EjectionPolicy {

	/** Ratio to the median of the pool above which the average of an upstream is slow. */
	private static final double SLOW_FACTOR = 3;

	/** Ratio to the tail latency of the pool above which a first token is overdue. */
	private static final double OVERDUE_FACTOR = 4;

	/** Time to the first token up to which no upstream counts as slow. */
	private static final long MINIMUM_SLOW_NANOS = 200_000_000L;

	private static final int MINIMUM_SAMPLES = 5;

	/** Minimum number of upstreams in the pool for each ejected one. */
	private static final int UPSTREAMS_PER_EJECTION = 3;

	void ejectSlow(List<Upstream> upstreams, LatencyHistogram poolLatency, long nowNanos) {
		if (poolLatency.count() < MINIMUM_SAMPLES) {
			return;
		}
		for (Upstream upstream : upstreams) {
			if (isSlow(upstream, poolLatency, nowNanos)) {
				ejectIfAllowed(upstream, upstreams, nowNanos);
			}
		}
	}

	void ejectIfAllowed(Upstream candidate, List<Upstream> upstreams, long nowNanos) {
		if (candidate.health().isEjected(nowNanos) || candidate.health().isUnavailable(nowNanos)) {
			return;
		}
		int ejectedCount = 0;
		for (Upstream upstream : upstreams) {
			ejectedCount += upstream.health().isEjected(nowNanos) ? 1 : 0;
		}
		if ((ejectedCount + 1) * UPSTREAMS_PER_EJECTION <= upstreams.size()) {
			candidate.health().eject(nowNanos);
			candidate.firstTokenAverage().reset();
		}
	}

	private boolean isSlow(Upstream upstream, LatencyHistogram poolLatency, long nowNanos) {
		double medianNanos = poolLatency.medianNanos();
		boolean slowOnAverage = upstream.firstTokenAverage().samples() >= MINIMUM_SAMPLES
				&& upstream.firstTokenAverage().valueOr(0) > Math.max(MINIMUM_SLOW_NANOS, SLOW_FACTOR * medianNanos);
		double overdueNanos = Math.max(MINIMUM_SLOW_NANOS,
				OVERDUE_FACTOR * Math.max(medianNanos, poolLatency.percentile95Nanos()));
		return slowOnAverage || upstream.longestFirstTokenWaitNanos(nowNanos) > overdueNanos;
	}

}
