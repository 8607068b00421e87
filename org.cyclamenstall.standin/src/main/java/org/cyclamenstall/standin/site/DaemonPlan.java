package org.cyclamenstall.standin.site;

import java.net.InetSocketAddress;

import org.cyclamenstall.settings.PeerAddress;
import org.cyclamenstall.standin.platform.ListedService;

/**
 * The configuration of a daemon that has not been started yet. Immutable.
 *
 * @param host the name of the host
 * @param failureDomain the failure domain of the host
 * @param callers the address on which the daemon accepts callers
 * @param operators the address on which the daemon accepts operators
 * @param peers the address on which the daemon accepts other daemons
 * @param proxies the fault proxies around the daemon
 */
record DaemonPlan(String host, String failureDomain, InetSocketAddress callers, InetSocketAddress operators,
		InetSocketAddress peers, DaemonProxies proxies) {

	ListedService toListedService() {
		InetSocketAddress proxy = this.proxies.peers().address();
		return new ListedService(this.host, proxy.getAddress().getHostAddress(), proxy.getPort(), this.failureDomain,
				ListedService.LIVE);
	}

	PeerAddress peerAddress() {
		InetSocketAddress proxy = this.proxies.peers().address();
		return new PeerAddress(this.host, proxy.getAddress().getHostAddress(), proxy.getPort());
	}

}
