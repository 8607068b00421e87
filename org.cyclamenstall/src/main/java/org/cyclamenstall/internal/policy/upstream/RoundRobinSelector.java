package org.cyclamenstall.internal.policy.upstream;

import java.util.List;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Selects the eligible upstreams in turn. Used if the selection by expected latency is
 * disabled. Not thread-safe.
 */
public final class RoundRobinSelector implements UpstreamSelector {

	private int nextIndex;

	@Override
	public @Nullable Upstream select(List<Upstream> upstreams, Predicate<Upstream> eligible,
			LatencyHistogram serviceLatency, long nowNanos) {
		for (int checked = 0; checked < upstreams.size(); checked++) {
			Upstream upstream = upstreams.get(this.nextIndex % upstreams.size());
			this.nextIndex = (this.nextIndex + 1) % upstreams.size();
			if (eligible.test(upstream)) {
				return upstream;
			}
		}
		return null;
	}

}
