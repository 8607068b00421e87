package org.cyclamenstall.internal.daemon;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.internal.claims.DisabledClaimRegistry;
import org.cyclamenstall.internal.events.BoundedEventLog;
import org.cyclamenstall.internal.gateway.ApiKeyAuthorization;
import org.cyclamenstall.internal.gateway.CallerServer;
import org.cyclamenstall.internal.gateway.RoutedCallerProtocol;
import org.cyclamenstall.internal.kernel.BootClock;
import org.cyclamenstall.internal.kernel.EssentialThread;
import org.cyclamenstall.internal.kernel.ShutdownSchedule;
import org.cyclamenstall.internal.logging.LogSetup;
import org.cyclamenstall.internal.operators.Readiness;
import org.cyclamenstall.internal.peers.load.FleetLoad;
import org.cyclamenstall.internal.peers.load.LoadExchange;
import org.cyclamenstall.internal.peers.load.LoadExchangeSettings;
import org.cyclamenstall.internal.policy.placement.PlacementTrafficController;
import org.cyclamenstall.internal.policy.quarantine.PromptQuarantine;
import org.cyclamenstall.internal.routes.WatchedRouteTable;
import org.cyclamenstall.internal.watch.StoreStaleness;
import org.cyclamenstall.internal.watch.StoreWatcher;
import org.cyclamenstall.internal.watch.WatchTiming;
import org.cyclamenstall.internal.watch.WatchedHostList;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.kernel.ServiceRegistry;
import org.cyclamenstall.lib.ServiceNames;
import org.cyclamenstall.policy.EngineTimeRecorder;
import org.cyclamenstall.policy.StartedRequests;
import org.cyclamenstall.routes.RouteTable;
import org.jspecify.annotations.Nullable;

/**
 * Creates, starts and shuts down the services of a daemon that serves the routes of a
 * watched store. Not thread-safe.
 */
public final class RoutedDaemon implements AutoCloseable {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(50);

	private final RoutedDaemonSettings settings;

	private final long incarnation = System.currentTimeMillis();

	private final EventLog events;

	private final MonotonicClock clock = MonotonicClock.SYSTEM;

	private final PrometheusRegistry metrics = new PrometheusRegistry();

	private final ServiceRegistry services = new ServiceRegistry();

	private final StoreStaleness staleness = new StoreStaleness(new BootClock());

	private final WatchedRouteTable routes;

	private final WatchedHostList hosts;

	private final ApiKeyAuthorization keyAuthorization;

	/**
	 * Work that one daemon does for all, or {@code null} if the settings ask for none.
	 */
	private final @Nullable Coordination coordination;

	private volatile boolean shuttingDown;

	private volatile boolean wasReady;

	/**
	 * Creates a daemon.
	 * @param settings the settings
	 * @param deployment the store, keys and codecs of the deployment
	 */
	public RoutedDaemon(RoutedDaemonSettings settings, RoutedDeployment deployment) {
		this.settings = settings;
		BoundedEventLog events = this.services.register(ServiceNames.EVENTS,
				new BoundedEventLog(LogSetup.eventSink(), this.clock, this.metrics));
		this.events = events;
		this.keyAuthorization = new ApiKeyAuthorization(this.staleness, settings.maximumKeyStaleness());
		this.routes = new WatchedRouteTable(deployment.configurationKey(), deployment.routeTableCodec(), events);
		this.hosts = new WatchedHostList(deployment.hostsPrefix(), deployment.hostCodec(), this.clock, events);
		StoreWatcher watcher = new StoreWatcher(deployment.store(), deployment.watchedPrefix(), this.staleness,
				WatchTiming.of(settings.maximumStoreDisconnection(), settings.maximumChangeDelay(),
						settings.maximumKeyStaleness()),
				random(), events);
		watcher.addListener(this.routes);
		watcher.addListener(this.hosts);
		this.coordination = (settings.coordination() != null) ? new Coordination(settings.coordination(), deployment,
				settings.host(), this.incarnation, random(), events) : null;
		if (this.coordination != null) {
			watcher.addListener(this.coordination.storeListener());
		}
		FleetLoad fleetLoad = new FleetLoad();
		PromptQuarantine quarantine = new PromptQuarantine(fleetLoad::daemonCount, random(), events);
		registerGauge("cyclamenstall_quarantined_prompt_parts", "Prompt parts that crash upstreams.", quarantine::size);
		StartedRequests startedRequests = (this.coordination != null) ? this.coordination.startedRequests()
				: StartedRequests.NONE;
		EngineTimeRecorder engineTime = (this.coordination != null) ? this.coordination.engineTime()
				: EngineTimeRecorder.NONE;
		this.services.register(ServiceNames.TRAFFIC,
				new PlacementTrafficController(settings.placement(), this.hosts, settings.failureDomain(), fleetLoad,
						quarantine, startedRequests, engineTime, this.clock, random(), events, this.metrics));
		if (settings.loadExchange() != null) {
			registerLoadExchange(settings.loadExchange(), fleetLoad, quarantine);
		}
		if (this.coordination != null) {
			this.coordination.register(this.services, settings.failureDomain(), this.incarnation, this.routes,
					this.hosts, this.metrics);
		}
		RoutedCallerProtocol protocol = new RoutedCallerProtocol(this.routes, this.keyAuthorization,
				deployment.requestHeaderCodec(), deployment.upstreamProtocol(), deployment.responseWriter(),
				settings.host(), this.incarnation, this.clock, random());
		CallerServer server = new CallerServer(settings.callers(), protocol, controller(), new DisabledClaimRegistry(),
				this.clock, this.metrics, events)
			.withPort(settings.readinessAddress(), new ProbeHandler(settings.readinessPath(), this::readiness));
		if (settings.metricsAddress() != null) {
			server.withPort(settings.metricsAddress(), new MetricsHandler(this.metrics));
		}
		this.services.register(ServiceNames.CALLERS, server);
		this.services.register(ServiceNames.STORE_WATCHER, watcher);
		this.routes.addListener(this::applyConnectionLimits);
		registerGauge("cyclamenstall_confirmed_age_seconds", "Time since the last successful read of the store.",
				() -> this.staleness.ageNanos() / NANOS_PER_SECOND);
		registerGauge("cyclamenstall_store_generation",
				"Generation of the store, which rises when it was restored from a copy; 0 if it has none.",
				deployment.generations()::current);
		registerGauge("cyclamenstall_store_restores", "Restores of the store that were seen by this daemon.",
				deployment.generations()::restoreCount);
		registerGauge("cyclamenstall_store_void_responses",
				"Responses of an earlier or unreadable generation of the store, which were ignored.",
				deployment.generations()::voidCount);
		registerGauge("cyclamenstall_thread_restarts", "Loops of essential threads that failed and were started again.",
				EssentialThread::restartCount);
		registerGauge("cyclamenstall_route_table_version", "Version of the active route table.",
				() -> this.routes.current().map(RouteTable::version).orElse(0L));
	}

	private void registerLoadExchange(LoadExchangeSettings exchangeSettings, FleetLoad fleetLoad,
			PromptQuarantine quarantine) {
		LoadExchange exchange = this.services.register(ServiceNames.LOAD_EXCHANGE,
				new LoadExchange(exchangeSettings, this.settings.failureDomain(), this.incarnation,
						controller()::localLoads, fleetLoad, quarantine, this.clock, random()));
		registerGauge("cyclamenstall_load_members", "Daemons that exchange their load, including this one.",
				exchange::memberCount);
	}

	/**
	 * Starts every service in the order of registration.
	 */
	public void start() {
		this.services.start();
		this.events.record(new Event.DaemonStarted(this.settings.host(), this.incarnation));
	}

	/**
	 * Shuts down gracefully: reports not ready, accepts requests that can still be
	 * answered for the settle time, then refuses new requests and waits until the open
	 * requests end or the response deadline has passed. Each request that is open then
	 * gets a final response.
	 * @param signal the shutdown signal; the wait is aborted when it is raised a second
	 * time
	 */
	public void shutDown(ShutdownSignal signal) {
		this.events.record(new Event.ShutdownBegun(callers().openRequests()));
		this.shuttingDown = true;
		ShutdownSchedule schedule = new ShutdownSchedule(this.clock.nanoTime(), this.settings.gracePeriod());
		callers().closeConnectionsAfterResponses();
		controller().shutDown(schedule);
		if (this.coordination != null) {
			this.coordination.resign();
		}
		if (awaitOpenRequests(schedule, signal)) {
			controller().drain();
			new CallerShutdown(callers(), signal, this.clock).run(schedule.endNanos());
		}
		this.events.record(new Event.ShutdownEnded(callers().openRequests(),
				TimeUnit.NANOSECONDS.toMillis(this.clock.nanoTime() - schedule.startedAtNanos())));
	}

	private boolean awaitOpenRequests(ShutdownSchedule schedule, ShutdownSignal signal) {
		while (schedule.mustListen(this.clock.nanoTime()) || callers().openRequests() > 0) {
			if (this.clock.nanoTime() - schedule.responseDeadlineNanos() >= 0) {
				return true;
			}
			if (signal.awaitSecond(DRAIN_POLL_INTERVAL)) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Applies reloaded settings. Only the maximum staleness of API keys takes effect, at
	 * once; all other settings are fixed at startup. A change of the caller port's
	 * settings or of the readiness address is reported as requiring a restart.
	 * @param reloaded the reloaded settings
	 * @param cause the trigger of the reload
	 */
	public void reload(RoutedDaemonSettings reloaded, String cause) {
		this.keyAuthorization.setMaximumStaleness(reloaded.maximumKeyStaleness());
		boolean sameListeners = reloaded.callers().equals(this.settings.callers())
				&& reloaded.readinessAddress().equals(this.settings.readinessAddress());
		this.events.record(new Event.SettingsReloaded(cause, !reloaded.equals(this.settings),
				sameListeners ? "" : "listener settings changed; a restart is required"));
	}

	/**
	 * Reports that the settings could not be reloaded and that the current ones are kept.
	 * @param cause the trigger of the reload
	 * @param detail the reason of the failure
	 */
	public void reportReloadFailure(String cause, String detail) {
		this.events.record(new Event.SettingsReloaded(cause, false, detail));
	}

	@Override
	public void close() {
		this.services.close();
	}

	private Readiness readiness() {
		Readiness current = determineReadiness();
		if (current.ready() != this.wasReady) {
			this.wasReady = current.ready();
			this.events.record(new Event.ReadinessChanged(current.ready(), current.reason()));
		}
		return current;
	}

	private Readiness determineReadiness() {
		if (this.shuttingDown) {
			return new Readiness(false, ErrorKind.SHUTTING_DOWN.code());
		}
		if (this.routes.current().isEmpty() || !this.hosts.isListed()) {
			return new Readiness(false, ErrorKind.NOT_READY.code());
		}
		if (!this.keyAuthorization.mayAcceptKeys()) {
			return new Readiness(false, ErrorKind.KEYS_UNCONFIRMED.code());
		}
		return new Readiness(true, "");
	}

	// Keeps idle connections open for twice the configured idle timeout. Callers rely on
	// the configured timeout, and a connection closed at that time could lose a request
	// that a caller has just sent on it.
	private void applyConnectionLimits(RouteTable table) {
		callers().applyConnectionLimits(table.connectionLimits().maximumHeaderBytes(),
				table.connectionLimits().headerTimeout(), table.connectionLimits().idleTimeout().multipliedBy(2));
	}

	private void registerGauge(String name, String help, DoubleSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((collector) -> collector.call(value.getAsDouble()))
			.register(this.metrics);
	}

	private PlacementTrafficController controller() {
		return this.services.find(ServiceNames.TRAFFIC, PlacementTrafficController.class);
	}

	private CallerServer callers() {
		return this.services.find(ServiceNames.CALLERS, CallerServer.class);
	}

	private static UniformRandomProvider random() {
		return RandomSource.XO_RO_SHI_RO_128_PP.create();
	}

}
