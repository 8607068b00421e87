package org.cyclamenstall.hosts;

/**
 * Describes one host of a service as the platform lists it.
 *
 * @param service the name of the service
 * @param host the name of the host
 * @param address the IP address
 * @param port the TCP port
 * @param failureDomain the failure domain
 * @param state whether it takes new work
 */
public record ListedHost(String service, String host, String address, int port, String failureDomain, HostState state) {

}
