package org.cyclamenstall.internal.policy.placement;

import java.util.List;

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
	 * @param division the engines for long and for short prompts
	 * @param facts what is known of the request
	 * @param nowNanos the time on the monotonic clock
	 * @return the choice, or {@code null} if there is none
	 */
	@Nullable PlacedUpstream choose(List<PlacedUpstream> upstreams, EngineDivision division, RequestFacts facts, long nowNanos);

}
