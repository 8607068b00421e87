package org.cyclamenstall.standin.site;

import org.cyclamenstall.standin.faultproxy.FaultProxy;

/**
 * The fault proxies around one daemon. Immutable.
 *
 * @param store the proxy between the daemon and the store
 * @param hostList the proxy between the daemon and the host list
 * @param peers the proxy between the other daemons and the daemon
 * @param callers the proxy between callers and the daemon
 */
record DaemonProxies(FaultProxy store, FaultProxy hostList, FaultProxy peers,
		FaultProxy callers) implements AutoCloseable {

	void clearFaults() {
		this.store.restore();
		this.hostList.restore();
		this.peers.restore();
		this.callers.restore();
	}

	@Override
	public void close() {
		this.store.close();
		this.hostList.close();
		this.peers.close();
		this.callers.close();
	}

}
