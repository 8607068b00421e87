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
import org.cyclamenstall.internal.logging.LogSetup;
import org.cyclamenstall.internal.operators.Readiness;
import org.cyclamenstall.internal.policy.placement.PlacementTrafficController;
import org.cyclamenstall.internal.routes.WatchedRouteTable;
import org.cyclamenstall.internal.watch.StoreStaleness;
import org.cyclamenstall.internal.watch.StoreWatcher;
import org.cyclamenstall.internal.watch.WatchedHostList;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.kernel.ServiceRegistry;
import org.cyclamenstall.lib.ServiceNames;
import org.cyclamenstall.routes.RouteTable;

/**
 * Assembles a daemon that serves the routes of a followed store, and ends it in order.
 * Used by one thread.
 */
public final class RoutedDaemon implements AutoCloseable {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final Duration DRAIN_POLL = Duration.ofMillis(50);

	/**
	 * How long a daemon that is shutting down still takes requests: callers need this
	 * long to notice. A later request would not end before the process does.
	 */
	private static final Duration SETTLE = Duration.ofMillis(2_000);

	/** How long it listens at least, so that a late request gets an answer. */
	private static final Duration LEAST_SHUTDOWN = Duration.ofMillis(4_000);

	private final RoutedDaemonSettings settings;

	private final long incarnation = System.currentTimeMillis();

	private final EventLog events;

	private final MonotonicClock clock = MonotonicClock.SYSTEM;

	private final PrometheusRegistry metrics = new PrometheusRegistry();

	private final ServiceRegistry services = new ServiceRegistry();

	private final StoreStaleness freshness = new StoreStaleness(new BootClock());

	private final WatchedRouteTable routes;

	private final ApiKeyAuthorization keys;

	private volatile boolean leaving;

	private volatile boolean wasReady;

	/**
	 * Creates a daemon.
	 * @param settings the settings
	 * @param deployment translates between the daemon and its deployment
	 */
	public RoutedDaemon(RoutedDaemonSettings settings, RoutedDeployment deployment) {
		this.settings = settings;
		BoundedEventLog events = this.services.register(ServiceNames.EVENTS,
				new BoundedEventLog(LogSetup.eventSink(), this.clock, this.metrics));
		this.events = events;
		this.keys = new ApiKeyAuthorization(this.freshness, settings.keyBound());
		this.routes = new WatchedRouteTable(deployment.configurationKey(), deployment.configurations(), events);
		WatchedHostList hosts = new WatchedHostList(deployment.hostsPrefix(), deployment.hosts(), this.clock, events);
		StoreWatcher follower = new StoreWatcher(deployment.store(), deployment.watchedPrefix(), this.freshness,
				random(), events);
		follower.addListener(this.routes);
		follower.addListener(hosts);
		this.services.register(ServiceNames.TRAFFIC, new PlacementTrafficController(settings.placement(), hosts,
				settings.failureDomain(), this.clock, random(), events, this.metrics));
		RoutedCallerProtocol protocol = new RoutedCallerProtocol(this.routes, this.keys, deployment.heads(),
				deployment.upstreams(), deployment.answers(), settings.host(), this.incarnation, this.clock, random());
		CallerServer server = new CallerServer(settings.callers(), protocol, controller(), new DisabledClaimRegistry(),
				this.clock, this.metrics, events)
			.withPort(settings.readiness(), new ProbeHandler(settings.readinessPath(), this::readiness));
		if (settings.metrics() != null) {
			server.withPort(settings.metrics(), new MetricsHandler(this.metrics));
		}
		this.services.register(ServiceNames.CALLERS, server);
		this.services.register(ServiceNames.STORE_FOLLOWER, follower);
		this.routes.addListener(this::boundCallers);
		gauge("cyclamenstall_confirmed_age_seconds", "Time since the store was last asked with success.",
				() -> this.freshness.ageNanos() / NANOS_PER_SECOND);
		gauge("cyclamenstall_route_table_version", "Version of the routes in force.",
				() -> this.routes.current().map(RouteTable::version).orElse(0L));
	}

	/**
	 * Starts every service.
	 */
	public void start() {
		this.services.start();
		this.events.record(new Event.DaemonStarted(this.settings.host(), this.incarnation));
	}

	/**
	 * Shuts down gracefully: readiness turns false, requests are served until none is
	 * open after the settle time.
	 * @param signal cuts the shutdown short when it is raised again
	 */
	public void shutDown(ShutdownSignal signal) {
		this.events.record(new Event.ShutdownBegun(callers().openRequests()));
		this.leaving = true;
		callers().closeConnectionsAfterResponses();
		long startedAtNanos = this.clock.nanoTime();
		while (!isDone(startedAtNanos)) {
			if (this.clock.nanoTime() - startedAtNanos >= SETTLE.toNanos()) {
				controller().drain();
			}
			if (signal.awaitSecond(DRAIN_POLL)) {
				break;
			}
		}
		this.events.record(new Event.ShutdownEnded(callers().openRequests(),
				TimeUnit.NANOSECONDS.toMillis(this.clock.nanoTime() - startedAtNanos)));
	}

	private boolean isDone(long startedAtNanos) {
		long sinceNanos = this.clock.nanoTime() - startedAtNanos;
		if (sinceNanos >= this.settings.shutdownTime().toNanos()) {
			return true;
		}
		return sinceNanos >= LEAST_SHUTDOWN.toNanos() && callers().openRequests() == 0;
	}

	/**
	 * Takes settings that were read again. What listens cannot change while the daemon
	 * runs; the bound on keys is in force at once.
	 * @param newer the settings
	 * @param cause what asked for it
	 */
	public void reload(RoutedDaemonSettings newer, String cause) {
		this.keys.setMaximumStaleness(newer.keyBound());
		boolean sameAddresses = newer.callers().equals(this.settings.callers())
				&& newer.readiness().equals(this.settings.readiness());
		this.events.record(new Event.SettingsReloaded(cause, !newer.equals(this.settings),
				sameAddresses ? "" : "other addresses need a restart"));
	}

	/**
	 * Tells that the settings could not be read again; those in force stand.
	 * @param cause what asked for it
	 * @param detail why
	 */
	public void reloadFailed(String cause, String detail) {
		this.events.record(new Event.SettingsReloaded(cause, false, detail));
	}

	@Override
	public void close() {
		this.services.close();
	}

	private Readiness readiness() {
		Readiness now = judgeReadiness();
		if (now.ready() != this.wasReady) {
			this.wasReady = now.ready();
			this.events.record(new Event.ReadinessChanged(now.ready(), now.reason()));
		}
		return now;
	}

	private Readiness judgeReadiness() {
		if (this.leaving) {
			return new Readiness(false, ErrorKind.SHUTTING_DOWN.code());
		}
		if (this.routes.current().isEmpty()) {
			return new Readiness(false, ErrorKind.NOT_READY.code());
		}
		if (!this.keys.mayAcceptKeys()) {
			return new Readiness(false, ErrorKind.KEYS_UNCONFIRMED.code());
		}
		return new Readiness(true, "");
	}

	// Keeps idle connections longer than callers are told, so that no request crosses
	// their end.
	private void boundCallers(RouteTable table) {
		callers().applyConnectionLimits(table.connectionLimits().maximumHeaderBytes(),
				table.connectionLimits().headerTimeout(), table.connectionLimits().idleTimeout().multipliedBy(2));
	}

	private void gauge(String name, String help, DoubleSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
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
