package org.cyclamenstall.internal.policy.placement;

import java.util.List;
import java.util.function.Predicate;

import org.cyclamenstall.policy.RequestFacts;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the upstream of an attempt. Does no input or output. Not thread-safe: the
 * controller's lock guards it.
 */
interface Placement {

	/**
	 * Chooses one upstream.
	 * @param upstreams the upstreams that may take the attempt
	 * @param hasRoom whether an upstream may take it now
	 * @param division the engines that are kept quiet
	 * @param facts what is known of the request
	 * @param nowNanos the time on the monotonic clock
	 * @return the choice, or {@code null} if there is none, or if it is better to wait
	 */
	@Nullable PlacedUpstream choose(List<PlacedUpstream> upstreams, Predicate<PlacedUpstream> hasRoom, EngineDivision division,
			RequestFacts facts, long nowNanos);

}
