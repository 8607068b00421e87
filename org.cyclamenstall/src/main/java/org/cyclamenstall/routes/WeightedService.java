package org.cyclamenstall.routes;

/**
 * An upstream service that receives a share of the requests of a route. Immutable.
 *
 * @param service the name of the service
 * @param weight its weight relative to the other services of the route
 */
public record WeightedService(String service, double weight) {

}
