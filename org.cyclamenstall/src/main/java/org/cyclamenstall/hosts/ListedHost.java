package org.cyclamenstall.hosts;

/**
 * Describes a host of a service as listed by the platform.
 *
 * @param service the name of the service
 * @param host the name of the host
 * @param address the IP address
 * @param port the TCP port
 * @param failureDomain the failure domain
 * @param state whether the host accepts new requests
 * @param slots the number of requests that the host can run concurrently, or zero if not
 * listed
 * @param incarnation the start time of the host in milliseconds since the epoch, which
 * distinguishes its restarts, or zero if not listed
 * @param preemptible whether the platform may take the host away
 */
public record ListedHost(String service, String host, String address, int port, String failureDomain, HostState state,
		int slots, long incarnation, boolean preemptible) {

	/**
	 * Creates a host that is not preemptible.
	 * @param service the name of the service
	 * @param host the name of the host
	 * @param address the IP address
	 * @param port the TCP port
	 * @param failureDomain the failure domain
	 * @param state whether the host accepts new requests
	 * @param slots the number of requests that the host can run concurrently, or zero
	 * @param incarnation the start time of the host, or zero
	 */
	public ListedHost(String service, String host, String address, int port, String failureDomain, HostState state,
			int slots, long incarnation) {
		this(service, host, address, port, failureDomain, state, slots, incarnation, false);
	}

	/**
	 * Creates a host whose slots and incarnation are not listed.
	 * @param service the name of the service
	 * @param host the name of the host
	 * @param address the IP address
	 * @param port the TCP port
	 * @param failureDomain the failure domain
	 * @param state whether the host accepts new requests
	 */
	public ListedHost(String service, String host, String address, int port, String failureDomain, HostState state) {
		this(service, host, address, port, failureDomain, state, 0, 0);
	}

	/**
	 * Returns this host in another state.
	 * @param newState the state
	 * @return the host
	 */
	public ListedHost withState(HostState newState) {
		return new ListedHost(this.service, this.host, this.address, this.port, this.failureDomain, newState,
				this.slots, this.incarnation, this.preemptible);
	}

}
