package org.cyclamenstall.routes;

/**
 * Gives an upstream service a share of a route's requests. Immutable.
 *
 * @param service the name of the service
 * @param weight its share, relative to the other services of the route
 */
public record WeightedService(String service, double weight) {

}
