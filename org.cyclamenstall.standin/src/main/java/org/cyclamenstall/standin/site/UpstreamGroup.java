package org.cyclamenstall.standin.site;

/**
 * The upstreams of one service in the host list. Immutable.
 *
 * @param service the name of the service
 * @param number the number of upstreams
 */
public record UpstreamGroup(String service, int number) {
}
