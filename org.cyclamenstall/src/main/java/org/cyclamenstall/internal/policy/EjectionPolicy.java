package org.cyclamenstall.internal.policy;

import java.util.List;

import org.cyclamenstall.internal.policy.upstream.LatencyWindow;
import org.cyclamenstall.internal.policy.upstream.Upstream;

/**
 * Ejects upstreams whose time to first token is far above that of the whole pool, at most
 * one third of the pool at a time. Performs no I/O. Immutable.
 */
final class EjectionPolicy {

	private static final double SLOW_FACTOR = 3;

	private static final double OVERDUE_FACTOR = 4;

	private static final long MINIMUM_SLOW_NANOS = 200_000_000L;

	private static final int MINIMUM_SAMPLES = 5;

	private static final int UPSTREAMS_PER_EJECTION = 3;

	void apply(List<Upstream> upstreams, LatencyWindow poolLatency, long nowNanos) {
		if (poolLatency.count() < MINIMUM_SAMPLES) {
			return;
		}
		for (Upstream upstream : upstreams) {
			if (isSlow(upstream, poolLatency, nowNanos)) {
				eject(upstream, upstreams, nowNanos);
			}
		}
	}

	void eject(Upstream candidate, List<Upstream> upstreams, long nowNanos) {
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

	private boolean isSlow(Upstream upstream, LatencyWindow poolLatency, long nowNanos) {
		double medianNanos = poolLatency.medianNanos();
		boolean slowOnAverage = upstream.firstTokenAverage().samples() >= MINIMUM_SAMPLES
				&& upstream.firstTokenAverage().valueOr(0) > Math.max(MINIMUM_SLOW_NANOS, SLOW_FACTOR * medianNanos);
		double overdueNanos = Math.max(MINIMUM_SLOW_NANOS,
				OVERDUE_FACTOR * Math.max(medianNanos, poolLatency.percentile95Nanos()));
		return slowOnAverage || upstream.longestFirstTokenWaitNanos(nowNanos) > overdueNanos;
	}

}
