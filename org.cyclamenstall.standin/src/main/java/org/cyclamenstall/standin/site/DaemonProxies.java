package org.cyclamenstall.standin.site;

import org.cyclamenstall.standin.faultproxy.FaultProxy;

/**
 * Holds the proxies around one daemon. Immutable.
 *
 * @param store between the daemon and the store
 * @param hostList between the daemon and the host list
 * @param peers between the other daemons and the daemon
 * @param callers between callers and the daemon
 */
record DaemonProxies(FaultProxy store, FaultProxy hostList, FaultProxy peers,
		FaultProxy callers) implements AutoCloseable {

	void pass() {
		this.store.pass();
		this.hostList.pass();
		this.peers.pass();
		this.callers.pass();
	}

	@Override
	public void close() {
		this.store.close();
		this.hostList.close();
		this.peers.close();
		this.callers.close();
	}

}
