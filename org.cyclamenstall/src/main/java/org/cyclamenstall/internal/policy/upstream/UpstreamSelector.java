package org.cyclamenstall.internal.policy.upstream;

import java.util.List;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Selects the upstream of an attempt. Performs no I/O. Not thread-safe: guarded by the
 * lock of the controller.
 */
public interface UpstreamSelector {

	/**
	 * Selects one upstream.
	 * @param upstreams all upstreams of the service
	 * @param eligible whether an upstream may receive the attempt
	 * @param serviceLatency the recent times to the first token of the service
	 * @param nowNanos the time on the monotonic clock
	 * @return the selected upstream, or {@code null} if none is eligible
	 */
	@Nullable Upstream select(List<Upstream> upstreams, Predicate<Upstream> eligible, LatencyHistogram serviceLatency,
			long nowNanos);

}
