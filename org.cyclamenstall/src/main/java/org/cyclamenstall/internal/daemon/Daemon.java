package org.cyclamenstall.internal.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;

import com.fasterxml.jackson.databind.json.JsonMapper;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.hosts.HostList;
import org.cyclamenstall.internal.catalogue.CatalogueWatcher;
import org.cyclamenstall.internal.catalogue.LocalCatalogue;
import org.cyclamenstall.internal.claims.ClaimRetention;
import org.cyclamenstall.internal.claims.StoreClaimRegistry;
import org.cyclamenstall.internal.events.BoundedEventLog;
import org.cyclamenstall.internal.gateway.CallerServer;
import org.cyclamenstall.internal.hosts.ConsulHostList;
import org.cyclamenstall.internal.logging.LogSetup;
import org.cyclamenstall.internal.operators.OperatorServer;
import org.cyclamenstall.internal.operators.Readiness;
import org.cyclamenstall.internal.peers.PeerExchange;
import org.cyclamenstall.internal.policy.PolicyTrafficController;
import org.cyclamenstall.internal.policy.TrafficControllers;
import org.cyclamenstall.internal.store.ConsulConfigurationStore;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.kernel.ServiceRegistry;
import org.cyclamenstall.lib.ServiceNames;
import org.cyclamenstall.settings.DaemonSettings;

/**
 * Creates, starts and shuts down the services of a daemon that is configured by the
 * catalogue. A service is registered after the services that it looks up. The peer
 * exchange and the claim registry depend on each other, so the peer exchange looks up the
 * claim registry each time it needs it. Not thread-safe.
 */
public final class Daemon implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(Daemon.class);

	private static final JsonMapper mapper = JsonMapper.builder().build();

	/** Time after the bound of a shutdown in which the last responses are sent. */
	private static final Duration LAST_RESPONSES_TIME = Duration.ofSeconds(1);

	private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(20);

	private final DaemonSettings settings;

	private final long incarnation = System.currentTimeMillis();

	private final MonotonicClock clock = MonotonicClock.SYSTEM;

	private final PrometheusRegistry metrics = new PrometheusRegistry();

	private final ServiceRegistry services = new ServiceRegistry();

	private final LocalCatalogue catalogue = new LocalCatalogue(this.metrics);

	private volatile boolean started;

	private volatile boolean shuttingDown;

	/**
	 * Creates a daemon.
	 * @param settings the validated settings
	 */
	public Daemon(DaemonSettings settings) {
		this.settings = settings;
		registerPlatform();
		registerPeers();
		registerPorts();
	}

	/**
	 * Starts every service in the order of registration.
	 */
	public void start() {
		this.services.start();
		this.started = true;
		logger.info("Daemon {} started with incarnation {}", this.settings.host(), this.incarnation);
	}

	/**
	 * Returns the readiness line, which contains the addresses of the daemon's ports.
	 * @return a JSON object on one line
	 */
	public String readyLine() {
		return mapper.createObjectNode()
			.put("ready", true)
			.put("host", this.settings.host())
			.put("callers", format(callers().address()))
			.put("operators", format(this.services.find(ServiceNames.OPERATORS, OperatorServer.class).address()))
			.put("peers", this.settings.peers().address() + ":" + peers().port())
			.toString();
	}

	/**
	 * Shuts down gracefully: reports not ready, notifies the peers, keeps serving callers
	 * for the settle time, then stops accepting requests and waits until the requests in
	 * flight end or the maximum shutdown time has passed. Each request that is open then
	 * gets a final response.
	 * @param signal the shutdown signal; the wait is aborted when it is raised a second
	 * time
	 */
	public void shutDown(ShutdownSignal signal) {
		logger.info("Shutdown started; {} open requests", callers().openRequests());
		this.shuttingDown = true;
		peers().leave();
		callers().closeConnectionsAfterResponses();
		if (signal.awaitSecond(Duration.ofMillis(this.settings.shutdown().settleMillis()))) {
			logAbortedShutdown();
			return;
		}
		callers().stopListening();
		controller().drain();
		long deadlineNanos = this.clock.nanoTime()
				+ Duration.ofSeconds(this.settings.shutdown().maximumSeconds()).toNanos();
		while (unfinishedRequests() > 0) {
			if (signal.awaitSecond(DRAIN_POLL_INTERVAL)) {
				logAbortedShutdown();
				return;
			}
			if (this.clock.nanoTime() - deadlineNanos > 0) {
				logAbortedShutdown();
				endCallers(signal);
				return;
			}
		}
		endCallers(signal);
		logger.info("Shutdown complete; no request was interrupted");
	}

	private void endCallers(ShutdownSignal signal) {
		new CallerShutdown(callers(), signal, this.clock).run(this.clock.nanoTime() + LAST_RESPONSES_TIME.toNanos());
	}

	@Override
	public void close() {
		this.services.close();
	}

	private void registerPlatform() {
		this.services.register(ServiceNames.EVENTS,
				new BoundedEventLog(LogSetup.eventSink(), this.clock, this.metrics));
		this.services.register(ServiceNames.STORE,
				new ConsulConfigurationStore(this.settings.platform().store(), this.metrics, this.clock, random()));
		ConsulHostList hosts = this.services.register(ServiceNames.HOST_LIST,
				new ConsulHostList(this.settings.platform().hostList(), this.metrics, random()));
		hosts.watch(this.settings.platform().hostList().daemonService());
		this.services.register(ServiceNames.TRAFFIC, TrafficControllers.create(this.settings.policy(), this.catalogue,
				hosts, this.settings.failureDomain(), this.clock, random(), this.metrics));
	}

	private void registerPeers() {
		HostList hosts = this.services.find(ServiceNames.HOST_LIST, HostList.class);
		PeerExchange peers = new PeerExchange(this.settings, hosts, this.catalogue, controller(),
				(attempt) -> claims().statusOf(attempt), this.clock, random(), this.metrics)
			.setIncarnation(this.incarnation);
		this.services.register(ServiceNames.PEERS, peers);
		this.services.register(ServiceNames.CATALOGUE_WATCHER, new CatalogueWatcher(store(), this.catalogue, peers,
				this.settings.platform().store(), this.metrics, this.clock, random()));
		this.services.register(ServiceNames.CLAIMS,
				new StoreClaimRegistry(store(), this.settings.platform().store(), this.settings.claims(), peers,
						this.settings.host(), this.incarnation, this.clock, InstantSource.system(), this.metrics));
		this.services.register(ServiceNames.CLAIM_RETENTION, new ClaimRetention(store(),
				this.settings.platform().store(), this.settings.claims(), peers, InstantSource.system(), this.metrics));
	}

	private void registerPorts() {
		this.services.register(ServiceNames.OPERATORS,
				new OperatorServer(this.settings.operators(), this.settings.platform().store().prefix(), store(),
						this.catalogue, peers(), this::readiness, new ControllerUpstreamReport(controller()),
						this.metrics, this.clock, random()));
		this.services.register(ServiceNames.CALLERS,
				new CallerServer(this.settings, this.incarnation, this.catalogue, controller(), claims(), this.clock,
						this.metrics, this.services.find(ServiceNames.EVENTS, BoundedEventLog.class)));
	}

	private Readiness readiness() {
		if (this.shuttingDown) {
			return new Readiness(false, "the daemon is shutting down");
		}
		if (!this.started) {
			return new Readiness(false, "the daemon is starting");
		}
		if (!this.catalogue.isLoaded()) {
			return new Readiness(false, "no catalogue was read from the store or from peers");
		}
		return new Readiness(true, "");
	}

	private int unfinishedRequests() {
		return Math.max(callers().openRequests(), controller().unfinishedRequests());
	}

	private void logAbortedShutdown() {
		logger.warn("Shutdown is cut short; {} open requests", callers().openRequests());
	}

	private ConsulConfigurationStore store() {
		return this.services.find(ServiceNames.STORE, ConsulConfigurationStore.class);
	}

	private PolicyTrafficController controller() {
		return this.services.find(ServiceNames.TRAFFIC, PolicyTrafficController.class);
	}

	private PeerExchange peers() {
		return this.services.find(ServiceNames.PEERS, PeerExchange.class);
	}

	private StoreClaimRegistry claims() {
		return this.services.find(ServiceNames.CLAIMS, StoreClaimRegistry.class);
	}

	private CallerServer callers() {
		return this.services.find(ServiceNames.CALLERS, CallerServer.class);
	}

	private static UniformRandomProvider random() {
		return RandomSource.XO_RO_SHI_RO_128_PP.create();
	}

	private static String format(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

}
