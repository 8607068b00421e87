package org.cyclamenstall.standin.site;

/**
 * Names a service of the host list and says how many upstreams it has. Immutable.
 *
 * @param service the name of the service
 * @param number the number of upstreams
 */
public record UpstreamGroup(String service, int number) {
}
