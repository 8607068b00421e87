package org.cyclamenstall.standin.site;

import java.net.InetSocketAddress;

import org.cyclamenstall.settings.PeerAddress;
import org.cyclamenstall.standin.platform.ListedService;

/**
 * Holds what is decided about a daemon before it starts. Immutable.
 *
 * @param host the name of its host
 * @param failureDomain its failure domain
 * @param callers where it takes callers
 * @param operators where it takes operators
 * @param peers where it takes other daemons
 * @param proxies the proxies around it
 */
record DaemonPlan(String host, String failureDomain, InetSocketAddress callers, InetSocketAddress operators,
		InetSocketAddress peers, DaemonProxies proxies) {

	ListedService listed() {
		InetSocketAddress proxy = this.proxies.peers().address();
		return new ListedService(this.host, proxy.getAddress().getHostAddress(), proxy.getPort(), this.failureDomain,
				ListedService.LIVE);
	}

	PeerAddress seed() {
		InetSocketAddress proxy = this.proxies.peers().address();
		return new PeerAddress(this.host, proxy.getAddress().getHostAddress(), proxy.getPort());
	}

}
