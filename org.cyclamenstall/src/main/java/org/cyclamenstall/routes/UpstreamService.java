package org.cyclamenstall.routes;

import org.jspecify.annotations.Nullable;

/**
 * Describes an upstream service. Immutable.
 *
 * @param name the name of the service
 * @param maximumConnections the connections that one upstream takes from all daemons
 * together
 * @param engine the shape of its model engines, or {@code null} for a plain service
 */
public record UpstreamService(String name, int maximumConnections, @Nullable EngineShape engine) {

}
