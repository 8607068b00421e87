package org.cyclamenstall.control;

/**
 * Orders a number of upstreams of one kind for a service in a failure domain, in place of
 * the number that was ordered before. Immutable.
 *
 * @param service the name of the service
 * @param failureDomain the failure domain
 * @param preemptible whether the platform may take the upstreams away
 * @param count the number of upstreams
 */
public record UpstreamOrder(String service, String failureDomain, boolean preemptible, int count) {

}
