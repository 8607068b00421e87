package org.cyclamenstall.standin.site;

import java.net.InetSocketAddress;

import org.cyclamenstall.standin.faultproxy.FaultProxy;

/**
 * A daemon of a site: its process, its addresses and the fault proxies around it.
 * Thread-safe.
 */
public final class DaemonInstance implements AutoCloseable {

	private static final String READY = "\"ready\":true";

	private final String host;

	private final InetSocketAddress callerAddress;

	private final OperatorClient operatorClient;

	private final DaemonProxies proxies;

	private final JavaProcess process;

	private final InetSocketAddress operatorAddress;

	DaemonInstance(String host, InetSocketAddress callerAddress, InetSocketAddress operatorAddress,
			DaemonProxies proxies, JavaProcess process) {
		this.host = host;
		this.callerAddress = callerAddress;
		this.operatorAddress = operatorAddress;
		this.operatorClient = new OperatorClient(operatorAddress);
		this.proxies = proxies;
		this.process = process;
	}

	/**
	 * Returns the name of the host that the daemon runs on.
	 * @return the name
	 */
	public String host() {
		return this.host;
	}

	/**
	 * Returns the address on which the daemon accepts callers, without a proxy.
	 * @return the address
	 */
	public InetSocketAddress callerAddress() {
		return this.callerAddress;
	}

	/**
	 * Returns the address on which the daemon accepts operators.
	 * @return the address
	 */
	public InetSocketAddress operatorAddress() {
		return this.operatorAddress;
	}

	/**
	 * Returns a client of the operator API of this daemon.
	 * @return the client
	 */
	public OperatorClient operatorClient() {
		return this.operatorClient;
	}

	/**
	 * Returns the proxy between this daemon and the store.
	 * @return the proxy
	 */
	public FaultProxy storeProxy() {
		return this.proxies.store();
	}

	/**
	 * Returns the proxy between this daemon and the host list.
	 * @return the proxy
	 */
	public FaultProxy hostListProxy() {
		return this.proxies.hostList();
	}

	/**
	 * Returns the proxy between the other daemons and this one.
	 * @return the proxy
	 */
	public FaultProxy peerProxy() {
		return this.proxies.peers();
	}

	/**
	 * Returns the proxy between callers and this daemon.
	 * @return the proxy
	 */
	public FaultProxy callerProxy() {
		return this.proxies.callers();
	}

	/**
	 * Returns the process of the daemon.
	 * @return the process
	 */
	public JavaProcess process() {
		return this.process;
	}

	/**
	 * Starts the process without waiting until it is ready.
	 */
	public void start() {
		this.process.start();
	}

	/**
	 * Waits until the daemon prints that it is ready to accept connections.
	 */
	public void awaitListening() {
		this.process.awaitLine(READY);
	}

	/**
	 * Waits until the operator API reports that the daemon is ready.
	 */
	public void awaitReady() {
		awaitListening();
		ConditionWaiter.await(this.operatorClient::isReady, () -> this.host + " is not ready: "
				+ this.operatorClient.get("/ready") + "\n" + this.process.standardError());
	}

	/**
	 * Waits until the catalogue of the daemon has reached a revision.
	 * @param revision the minimum revision
	 */
	public void awaitRevision(long revision) {
		ConditionWaiter.await(() -> catalogueRevision() >= revision,
				() -> this.host + " is at catalogue revision " + catalogueRevision() + ", expected " + revision);
	}

	/**
	 * Returns the revision of the catalogue of the daemon.
	 * @return the revision; 0 if the daemon does not report it
	 */
	public long catalogueRevision() {
		return this.operatorClient.get("/v1/status").json().path("catalogueRevision").asLong(0);
	}

	/**
	 * Removes all faults of the proxies around the daemon.
	 */
	public void clearFaults() {
		this.proxies.clearFaults();
	}

	@Override
	public void close() {
		this.process.close();
		this.proxies.close();
	}

}
