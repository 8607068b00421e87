package org.cyclamenstall.internal.policy.upstream;

import java.util.List;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Strategy that chooses the upstream of an attempt. Does no input or output. Not
 * thread-safe: guarded by the lock of the controller.
 */
public interface UpstreamSelector {

	/**
	 * Chooses one upstream.
	 * @param upstreams all upstreams of the service
	 * @param eligible whether an upstream may receive the attempt
	 * @param serviceLatency the recent times to the first token of the service
	 * @param nowNanos the time on the monotonic clock
	 * @return the chosen upstream, or {@code null} if none is eligible
	 */
	@Nullable Upstream select(List<Upstream> upstreams, Predicate<Upstream> eligible, LatencyWindow serviceLatency,
			long nowNanos);

}
