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
 * Holds a running deployment: daemons, stand-ins and the proxies between them. Closing it
 * ends every process of it. Thread-safe.
 */
public final class Site implements AutoCloseable {

	private static final int SENDER_BYTES = 60;

	private final Closer closer;

	private final StoreStandin store;

	private final HostListStandin hostList;

	private final List<Upstream<EngineStandin>> engines;

	private final List<Upstream<ServiceStandin>> services;

	private final List<DaemonInstance> daemons;

	Site(Closer closer, StoreStandin store, HostListStandin hostList, List<Upstream<EngineStandin>> engines,
			List<Upstream<ServiceStandin>> services, List<DaemonInstance> daemons) {
		this.closer = closer;
		this.store = store;
		this.hostList = hostList;
		this.engines = List.copyOf(engines);
		this.services = List.copyOf(services);
		this.daemons = List.copyOf(daemons);
	}

	/**
	 * Returns the store.
	 * @return the store
	 */
	public StoreStandin store() {
		return this.store;
	}

	/**
	 * Returns the host list.
	 * @return the host list
	 */
	public HostListStandin hostList() {
		return this.hostList;
	}

	/**
	 * Returns the engines.
	 * @return the engines
	 */
	public List<Upstream<EngineStandin>> engines() {
		return this.engines;
	}

	/**
	 * Returns the plain services.
	 * @return the plain services
	 */
	public List<Upstream<ServiceStandin>> services() {
		return this.services;
	}

	/**
	 * Returns the daemons.
	 * @return the daemons
	 */
	public List<DaemonInstance> daemons() {
		return this.daemons;
	}

	/**
	 * Returns one daemon.
	 * @param index its index, from 0
	 * @return the daemon
	 */
	public DaemonInstance daemon(int index) {
		return this.daemons.get(index);
	}

	/**
	 * Writes a catalogue entry through a daemon and waits until it is in force on every
	 * live daemon.
	 * @param name the name of the entry
	 * @param yaml the entry
	 * @return the revision
	 */
	public long putEntry(String name, String yaml) {
		OperatorAnswer answer = this.daemons.get(0).operators().putEntry(name, yaml);
		if (!answer.isAccepted()) {
			throw new IllegalStateException("Entry " + name + " was refused: " + answer);
		}
		long revision = answer.json().path("revision").asLong();
		this.daemons.stream()
			.filter((daemon) -> daemon.process().isAlive())
			.forEach((daemon) -> daemon.awaitRevision(revision));
		return revision;
	}

	/**
	 * Publishes an upstream with a state in the host list.
	 * @param upstream the upstream
	 * @param state the state
	 */
	public void publish(Upstream<? extends Standin> upstream, String state) {
		this.hostList.putHost(upstream.service(), upstream.listed(state));
	}

	/**
	 * Returns how often the request of an idempotency key was executed by the plain
	 * services together.
	 * @param key the idempotency key
	 * @return the number of executions
	 */
	public long executionsOfKey(String key) {
		return this.services.stream().mapToLong((upstream) -> upstream.standin().executionsOfKey(key)).sum();
	}

	/**
	 * Cuts a daemon off from every other one, in both directions.
	 * @param index its index
	 */
	public void cutFromPeers(int index) {
		DaemonInstance alone = daemon(index);
		alone.peerProxy().cut();
		String fromIt = "(?s)^.{0," + SENDER_BYTES + "}" + alone.host();
		this.daemons.stream().filter((other) -> other != alone).forEach((other) -> {
			other.peerProxy().add(FaultRule.on(Direction.REQUEST, FaultAction.RESET).matching(fromIt).build());
			other.peerProxy().resetConnections();
		});
	}

	/**
	 * Ends every fault of the stand-ins and proxies.
	 */
	public void clearFaults() {
		this.store.setFaults(StoreFaults.NONE);
		this.hostList.setFaults(HostListFaults.NONE);
		this.engines.forEach((upstream) -> {
			upstream.standin().setFaults(EngineFaults.NONE);
			upstream.proxy().pass();
		});
		this.services.forEach((upstream) -> {
			upstream.standin().setFaults(ServiceFaults.NONE);
			upstream.proxy().pass();
		});
		this.daemons.forEach(DaemonInstance::clearFaults);
	}

	@Override
	public void close() {
		this.closer.close();
	}

}
