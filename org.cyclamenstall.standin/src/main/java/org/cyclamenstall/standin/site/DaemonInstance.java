package org.cyclamenstall.standin.site;

import java.net.InetSocketAddress;

import org.cyclamenstall.standin.faultproxy.FaultProxy;

/**
 * Holds one daemon of a site: its process, its addresses and the proxies between it and
 * the platform. Thread-safe.
 */
public final class DaemonInstance implements AutoCloseable {

	private static final String READY = "\"ready\":true";

	private final String host;

	private final InetSocketAddress callers;

	private final OperatorClient operators;

	private final DaemonProxies proxies;

	private final JavaProcess process;

	private final InetSocketAddress operatorsAddress;

	DaemonInstance(String host, InetSocketAddress callers, InetSocketAddress operators, DaemonProxies proxies,
			JavaProcess process) {
		this.host = host;
		this.callers = callers;
		this.operatorsAddress = operators;
		this.operators = new OperatorClient(operators);
		this.proxies = proxies;
		this.process = process;
	}

	/**
	 * Returns the name of its host.
	 * @return the name
	 */
	public String host() {
		return this.host;
	}

	/**
	 * Returns where it takes callers, without a proxy.
	 * @return the address
	 */
	public InetSocketAddress callers() {
		return this.callers;
	}

	/**
	 * Returns where it takes operators.
	 * @return the address
	 */
	public InetSocketAddress operatorsAddress() {
		return this.operatorsAddress;
	}

	/**
	 * Returns a client of its operators' port.
	 * @return the client
	 */
	public OperatorClient operators() {
		return this.operators;
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
	 * Returns its process.
	 * @return the process
	 */
	public JavaProcess process() {
		return this.process;
	}

	/**
	 * Starts the process; does not wait for it.
	 */
	public void start() {
		this.process.start();
	}

	/**
	 * Waits until its ports are open.
	 */
	public void awaitListening() {
		this.process.awaitLine(READY);
	}

	/**
	 * Waits until it reports that it is ready.
	 */
	public void awaitReady() {
		awaitListening();
		ConditionWaiter.await(this.operators::isReady,
				() -> this.host + " is not ready: " + this.operators.get("/ready") + "\n" + this.process.errors());
	}

	/**
	 * Waits until it holds a catalogue revision.
	 * @param revision the revision
	 */
	public void awaitRevision(long revision) {
		ConditionWaiter.await(() -> catalogueRevision() >= revision,
				() -> this.host + " holds revision " + catalogueRevision() + " and not " + revision);
	}

	/**
	 * Returns the catalogue revision that it holds.
	 * @return the revision
	 */
	public long catalogueRevision() {
		return this.operators.get("/v1/status").json().path("catalogueRevision").asLong(0);
	}

	/**
	 * Ends every fault of the proxies around it.
	 */
	public void clearFaults() {
		this.proxies.pass();
	}

	@Override
	public void close() {
		this.process.close();
		this.proxies.close();
	}

}
