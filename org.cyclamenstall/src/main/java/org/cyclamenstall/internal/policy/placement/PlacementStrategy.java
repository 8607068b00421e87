package org.cyclamenstall.internal.policy.placement;

import java.util.List;
import java.util.function.Predicate;

import org.cyclamenstall.policy.RequestAttributes;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the upstream of an attempt. Performs no I/O. Not thread-safe: guarded by the
 * lock of the controller.
 */
interface PlacementStrategy {

	/**
	 * Chooses one upstream.
	 * @param upstreams the candidates
	 * @param hasRoom whether a candidate can accept the request now
	 * @param partition the partition into reserved and other engines
	 * @param engineSpeed the speed of the engines
	 * @param attributes the request attributes
	 * @param nowNanos the time on the monotonic clock
	 * @return the chosen upstream, or {@code null} if none has room or if the request
	 * should wait for a cheaper one
	 */
	@Nullable PlacementUpstream choose(List<PlacementUpstream> upstreams, Predicate<PlacementUpstream> hasRoom,
			EnginePartition partition, EngineSpeed engineSpeed, RequestAttributes attributes, long nowNanos);

}
