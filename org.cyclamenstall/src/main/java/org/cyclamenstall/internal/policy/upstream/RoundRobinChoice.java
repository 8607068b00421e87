package org.cyclamenstall.internal.policy.upstream;

import java.util.List;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Takes the eligible upstreams in turn: the baseline. Not thread-safe.
 */
public final class RoundRobinChoice implements UpstreamChoice {

	private int next;

	@Override
	public @Nullable Upstream choose(List<Upstream> upstreams, Predicate<Upstream> eligible, LatencyWindow usual,
			long nowNanos) {
		for (int tried = 0; tried < upstreams.size(); tried++) {
			Upstream upstream = upstreams.get(this.next % upstreams.size());
			this.next = (this.next + 1) % upstreams.size();
			if (eligible.test(upstream)) {
				return upstream;
			}
		}
		return null;
	}

}
