package org.cyclamenstall.standin.site;

import java.util.List;

import org.cyclamenstall.kernel.Closer;
import org.cyclamenstall.standin.Standin;
import org.cyclamenstall.standin.engine.EngineFaults;
import org.cyclamenstall.standin.engine.EngineStandin;
import org.cyclamenstall.standin.faultproxy.Direction;
import org.cyclamenstall.standin.faultproxy.FaultAction;
import org.cyclamenstall.standin.faultproxy.FaultRule;
import org.cyclamenstall.standin.platform.HostListFaults;
import org.cyclamenstall.standin.platform.HostListStandin;
import org.cyclamenstall.standin.platform.StoreFaults;
import org.cyclamenstall.standin.platform.StoreStandin;
import org.cyclamenstall.standin.service.ServiceFaults;
import org.cyclamenstall.standin.service.ServiceStandin;

/**
 * A running deployment: daemons, stand-ins and the fault proxies between them. Closing it
 * stops all of them. Thread-safe.
 */
public final class Site implements AutoCloseable {

	// The host name of the sender is at the start of a peer request; the same text
	// further on, such as in a catalogue record, does not identify the sender.
	private static final int MAXIMUM_SENDER_OFFSET_BYTES = 60;

	private final Closer closer;

	private final StoreStandin store;

	private final HostListStandin hostList;

	private final List<UpstreamInstance<EngineStandin>> engines;

	private final List<UpstreamInstance<ServiceStandin>> services;

	private final List<DaemonInstance> daemons;

	Site(Closer closer, StoreStandin store, HostListStandin hostList, List<UpstreamInstance<EngineStandin>> engines,
			List<UpstreamInstance<ServiceStandin>> services, List<DaemonInstance> daemons) {
		this.closer = closer;
		this.store = store;
		this.hostList = hostList;
		this.engines = List.copyOf(engines);
		this.services = List.copyOf(services);
		this.daemons = List.copyOf(daemons);
	}

	/**
	 * Returns the stand-in of the platform's key-value store.
	 * @return the store
	 */
	public StoreStandin store() {
		return this.store;
	}

	/**
	 * Returns the stand-in of the platform's host list.
	 * @return the host list
	 */
	public HostListStandin hostList() {
		return this.hostList;
	}

	/**
	 * Returns the model engines with their proxies.
	 * @return the engines, in order of start
	 */
	public List<UpstreamInstance<EngineStandin>> engines() {
		return this.engines;
	}

	/**
	 * Returns the instances of plain services with their proxies.
	 * @return the plain services, in order of start
	 */
	public List<UpstreamInstance<ServiceStandin>> services() {
		return this.services;
	}

	/**
	 * Returns the daemons of this site.
	 * @return the daemons, in order of start
	 */
	public List<DaemonInstance> daemons() {
		return this.daemons;
	}

	/**
	 * Returns one daemon.
	 * @param index the index, from 0
	 * @return the daemon
	 */
	public DaemonInstance daemon(int index) {
		return this.daemons.get(index);
	}

	/**
	 * Writes a catalogue entry through the first daemon and waits until it is active on
	 * every running daemon.
	 * @param name the name of the entry
	 * @param yaml the entry as YAML
	 * @return the catalogue revision of the edit
	 */
	public long putEntry(String name, String yaml) {
		OperatorResponse response = this.daemons.get(0).operatorClient().putEntry(name, yaml);
		if (!response.isSuccess()) {
			throw new IllegalStateException("Entry " + name + " was rejected: " + response);
		}
		long revision = response.json().path("revision").asLong();
		this.daemons.stream()
			.filter((daemon) -> daemon.process().isAlive())
			.forEach((daemon) -> daemon.awaitRevision(revision));
		return revision;
	}

	/**
	 * Sets the state of an upstream in the host list.
	 * @param upstream the upstream
	 * @param state the new state
	 */
	public void setUpstreamState(UpstreamInstance<? extends Standin> upstream, String state) {
		this.hostList.putHost(upstream.service(), upstream.toListedService(state));
	}

	/**
	 * Returns how often requests with an idempotency key were executed, summed over all
	 * plain services.
	 * @param key the idempotency key
	 * @return the number of executions
	 */
	public long executionsOfKey(String key) {
		return this.services.stream().mapToLong((upstream) -> upstream.standin().executionsOfKey(key)).sum();
	}

	/**
	 * Resets the connections between a daemon and all others, in both directions, until
	 * {@link #clearFaults()} is called.
	 * @param index the index of the daemon
	 */
	public void isolateFromPeers(int index) {
		DaemonInstance isolated = daemon(index);
		isolated.peerProxy().resetUntilRestored();
		String fromIsolated = "(?s)^.{0," + MAXIMUM_SENDER_OFFSET_BYTES + "}" + isolated.host();
		this.daemons.stream().filter((other) -> other != isolated).forEach((other) -> {
			other.peerProxy()
				.addRule(FaultRule.on(Direction.REQUEST, FaultAction.RESET).requestMatching(fromIsolated).build());
			other.peerProxy().resetConnections();
		});
	}

	/**
	 * Removes all faults of the stand-ins and proxies.
	 */
	public void clearFaults() {
		this.store.setFaults(StoreFaults.NONE);
		this.hostList.setFaults(HostListFaults.NONE);
		this.engines.forEach((upstream) -> {
			upstream.standin().setFaults(EngineFaults.NONE);
			upstream.proxy().restore();
		});
		this.services.forEach((upstream) -> {
			upstream.standin().setFaults(ServiceFaults.NONE);
			upstream.proxy().restore();
		});
		this.daemons.forEach(DaemonInstance::clearFaults);
	}

	@Override
	public void close() {
		this.closer.close();
	}

}
