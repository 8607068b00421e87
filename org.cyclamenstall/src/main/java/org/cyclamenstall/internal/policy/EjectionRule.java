package org.cyclamenstall.internal.policy;

import java.util.List;

import org.cyclamenstall.internal.policy.upstream.LatencyWindow;
import org.cyclamenstall.internal.policy.upstream.Upstream;

/**
 * Ejects upstreams that are much slower than the others, never more than a share of the
 * pool. Does no input or output. Immutable.
 */
final class EjectionRule {

	private static final double SLOW_FACTOR = 3;

	private static final double OVERDUE_FACTOR = 4;

	private static final long LEAST_SLOW_NANOS = 200_000_000L;

	private static final int LEAST_SAMPLES = 5;

	private static final int POOL_PARTS = 3;

	void apply(List<Upstream> upstreams, LatencyWindow usual, long nowNanos) {
		if (usual.count() < LEAST_SAMPLES) {
			return;
		}
		for (Upstream upstream : upstreams) {
			if (isSlow(upstream, usual, nowNanos)) {
				eject(upstream, upstreams, nowNanos);
			}
		}
	}

	void eject(Upstream slow, List<Upstream> upstreams, long nowNanos) {
		if (slow.health().isEjected(nowNanos) || slow.health().isClosed(nowNanos)) {
			return;
		}
		int ejected = 0;
		for (Upstream upstream : upstreams) {
			ejected += upstream.health().isEjected(nowNanos) ? 1 : 0;
		}
		if ((ejected + 1) * POOL_PARTS <= upstreams.size()) {
			slow.health().eject(nowNanos);
			slow.firstTokenAverage().reset();
		}
	}

	private boolean isSlow(Upstream upstream, LatencyWindow usual, long nowNanos) {
		double median = usual.medianNanos();
		boolean slowOnAverage = upstream.firstTokenAverage().samples() >= LEAST_SAMPLES
				&& upstream.firstTokenAverage().valueOr(0) > Math.max(LEAST_SLOW_NANOS, SLOW_FACTOR * median);
		double overdue = Math.max(LEAST_SLOW_NANOS, OVERDUE_FACTOR * Math.max(median, usual.tailNanos()));
		return slowOnAverage || upstream.oldestAwaitingNanos(nowNanos) > overdue;
	}

}
