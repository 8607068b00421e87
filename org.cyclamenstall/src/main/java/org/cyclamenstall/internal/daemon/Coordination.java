package org.cyclamenstall.internal.daemon;

import java.time.Duration;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.control.ControlApi;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.hosts.HostList;
import org.cyclamenstall.internal.kernel.BootClock;
import org.cyclamenstall.internal.kernel.PeriodicTask;
import org.cyclamenstall.internal.leadership.LeadershipService;
import org.cyclamenstall.internal.leadership.LeadershipSettings;
import org.cyclamenstall.internal.metering.CollectedCounts;
import org.cyclamenstall.internal.metering.CollectedEngineTime;
import org.cyclamenstall.internal.metering.FleetClock;
import org.cyclamenstall.internal.metering.LocalCounts;
import org.cyclamenstall.internal.metering.LocalEngineTime;
import org.cyclamenstall.internal.metering.MeteringExchange;
import org.cyclamenstall.internal.metering.WindowReporter;
import org.cyclamenstall.internal.scaling.UpstreamOrders;
import org.cyclamenstall.internal.watch.StoreListener;
import org.cyclamenstall.kernel.ServiceRegistry;
import org.cyclamenstall.kernel.SuspendAwareClock;
import org.cyclamenstall.lib.ServiceNames;
import org.cyclamenstall.policy.EngineTimeRecorder;
import org.cyclamenstall.policy.StartedRequests;
import org.cyclamenstall.routes.RouteTableView;

/**
 * Creates the services for the work that one daemon does for all: the election of the
 * leader, the collection of counts, and the reports. Not thread-safe.
 */
final class Coordination {

	/** Interval at which the leader checks what is due. */
	private static final Duration INTERVAL = Duration.ofMillis(500);

	private final CoordinationSettings settings;

	private final RoutedDeployment deployment;

	private final EventLog events;

	private final LeadershipService leadership;

	private final FleetClock fleetClock;

	private final LocalCounts localCounts;

	private final CollectedCounts collectedCounts = new CollectedCounts();

	private final LocalEngineTime localEngineTime = new LocalEngineTime();

	private final CollectedEngineTime collectedEngineTime = new CollectedEngineTime();

	private final SuspendAwareClock clock = new BootClock();

	Coordination(CoordinationSettings settings, RoutedDeployment deployment, String host, long incarnation,
			UniformRandomProvider random, EventLog events) {
		this.settings = settings;
		this.deployment = deployment;
		this.events = events;
		this.fleetClock = new FleetClock(this.clock, System::currentTimeMillis);
		this.localCounts = new LocalCounts(settings.metering().schedule(), this.fleetClock);
		String collectorAddress = settings.metering().address().getAddress().getHostAddress() + ":"
				+ settings.metering().address().getPort();
		this.leadership = new LeadershipService(new LeadershipSettings(settings.leaseDuration(), collectorAddress),
				host, incarnation, deployment.leasedStore(), this.clock, random, events);
		deployment.generations().addListener(this.leadership::onStoreRestored);
	}

	StartedRequests startedRequests() {
		return this.localCounts;
	}

	EngineTimeRecorder engineTime() {
		return this.localEngineTime;
	}

	StoreListener storeListener() {
		return this.leadership;
	}

	void register(ServiceRegistry services, String failureDomain, long incarnation, RouteTableView routes,
			HostList hosts, PrometheusRegistry metrics) {
		services.register(ServiceNames.LEADERSHIP, this.leadership);
		services.register(ServiceNames.METERING,
				new MeteringExchange(this.settings.metering(), failureDomain, incarnation, this.leadership,
						this.localCounts, this.collectedCounts, this.localEngineTime, this.collectedEngineTime,
						this.fleetClock, this.clock));
		ControlApi controlApi = this.deployment.controlApi();
		if (controlApi != null && this.settings.reportsUsage()) {
			WindowReporter reporter = new WindowReporter(this.settings.metering().schedule(), this.collectedCounts,
					this.fleetClock, this.deployment.store(), this.deployment.leasedStore(), controlApi,
					this.leadership, this.events);
			this.deployment.generations()
				.addListener((generation) -> reporter.onStoreRestored(this.settings.leaseDuration()));
			services.register(ServiceNames.USAGE_REPORTS,
					new PeriodicTask(ServiceNames.USAGE_REPORTS, INTERVAL, reporter::run));
		}
		if (controlApi != null && this.settings.ordersUpstreams()) {
			UpstreamOrders orders = new UpstreamOrders(routes, hosts, this.collectedEngineTime, controlApi,
					this.leadership, this.clock, this.events);
			services.register(ServiceNames.UPSTREAM_ORDERS,
					new PeriodicTask(ServiceNames.UPSTREAM_ORDERS, INTERVAL, orders::run));
		}
		GaugeWithCallback.builder()
			.name("cyclamenstall_leadership_token")
			.help("Fencing token of this daemon if it leads the fleet, otherwise 0.")
			.callback((collector) -> collector.call(this.leadership.token()))
			.register(metrics);
	}

	/**
	 * Gives up the leadership, because the daemon shuts down.
	 */
	void resign() {
		this.leadership.resign();
	}

}
