package org.cyclamenstall.internal.peers.load;

import java.net.InetSocketAddress;

/**
 * Names the address at which a daemon receives load reports. Two endpoints with the same
 * address are equal. Immutable.
 *
 * @param address the address, resolved
 * @param failureDomain the failure domain of the daemon, empty if unknown
 */
public record LoadEndpoint(InetSocketAddress address, String failureDomain) {

	@Override
	public boolean equals(Object other) {
		return other instanceof LoadEndpoint endpoint && endpoint.address.equals(this.address);
	}

	@Override
	public int hashCode() {
		return this.address.hashCode();
	}

}
