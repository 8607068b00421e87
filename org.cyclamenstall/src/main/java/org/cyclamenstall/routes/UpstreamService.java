package org.cyclamenstall.routes;

import org.jspecify.annotations.Nullable;

/**
 * Properties of an upstream service. Immutable.
 *
 * @param name the name of the service
 * @param maximumConnections the maximum number of connections of all daemons to one
 * upstream
 * @param engine the properties of its model engines, or {@code null} for a service
 * without engines
 * @param scaling the properties of orders of upstreams, or {@code null} if the number of
 * upstreams is fixed
 */
public record UpstreamService(String name, int maximumConnections, @Nullable EngineProperties engine,
		@Nullable ScalingProperties scaling) {

}
