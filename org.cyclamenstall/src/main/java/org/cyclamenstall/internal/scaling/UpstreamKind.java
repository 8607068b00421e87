package org.cyclamenstall.internal.scaling;

/**
 * Names the upstreams of one kind in one failure domain, which are ordered together.
 *
 * @param failureDomain the failure domain
 * @param preemptible whether the platform may take the upstreams away
 */
record UpstreamKind(String failureDomain, boolean preemptible) {

}
