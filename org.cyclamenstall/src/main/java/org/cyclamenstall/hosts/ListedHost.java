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
 * @param slots the requests that it runs at the same time, or zero if it is not listed
 * @param incarnation tells the starts of one host apart: the time of its start, in
 * milliseconds since the epoch, or zero if it is not listed
 */
public record ListedHost(String service, String host, String address, int port, String failureDomain, HostState state,
		int slots, long incarnation) {

	/**
	 * Creates a host without slots and incarnation.
	 * @param service the name of the service
	 * @param host the name of the host
	 * @param address the IP address
	 * @param port the TCP port
	 * @param failureDomain the failure domain
	 * @param state whether it takes new work
	 */
	public ListedHost(String service, String host, String address, int port, String failureDomain, HostState state) {
		this(service, host, address, port, failureDomain, state, 0, 0);
	}

}
