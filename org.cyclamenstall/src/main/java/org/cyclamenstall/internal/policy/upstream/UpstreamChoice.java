package org.cyclamenstall.internal.policy.upstream;

import java.util.List;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the upstream of an attempt. Does no input or output. Not thread-safe: the
 * controller's lock guards it.
 */
public interface UpstreamChoice {

	/**
	 * Chooses one upstream.
	 * @param upstreams all upstreams of the service
	 * @param eligible whether an upstream may take the attempt
	 * @param usual the usual times of the service
	 * @param nowNanos the time on the monotonic clock
	 * @return the choice, or {@code null} if none is eligible
	 */
	@Nullable Upstream choose(List<Upstream> upstreams, Predicate<Upstream> eligible, LatencyWindow usual, long nowNanos);

}
