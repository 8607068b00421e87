package org.cyclamenstall.internal.scaling;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.cyclamenstall.control.ControlApi;
import org.cyclamenstall.control.ControlResult;
import org.cyclamenstall.control.UpstreamOrder;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.hosts.HostList;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.metering.CollectedEngineTime;
import org.cyclamenstall.kernel.SuspendAwareClock;
import org.cyclamenstall.leadership.Leadership;
import org.cyclamenstall.routes.RouteTable;
import org.cyclamenstall.routes.RouteTableView;
import org.cyclamenstall.routes.ScalingProperties;
import org.cyclamenstall.routes.UpstreamService;

/**
 * Orders upstreams for all services that ask for it, while this daemon leads. A new
 * leader first observes what there is. Not thread-safe.
 */
public final class UpstreamOrders {

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

	private final Map<String, UpstreamScaler> scalers = new HashMap<>();

	private final Map<String, UpstreamNeed> needs = new HashMap<>();

	private final RouteTableView routes;

	private final HostList hosts;

	private final CollectedEngineTime engineTime;

	private final ControlApi controlApi;

	private final Leadership leadership;

	private final SuspendAwareClock clock;

	private final EventLog events;

	/** Token of the leadership in which the last pass ran, or zero. */
	private long token;

	/**
	 * Creates an instance.
	 * @param routes the active route table
	 * @param hosts the list of upstreams
	 * @param engineTime the engine time of the requests of all daemons
	 * @param controlApi accepts the orders
	 * @param leadership states whether this daemon leads
	 * @param clock the clock, which must include suspension
	 * @param events the event log
	 */
	public UpstreamOrders(RouteTableView routes, HostList hosts, CollectedEngineTime engineTime, ControlApi controlApi,
			Leadership leadership, SuspendAwareClock clock, EventLog events) {
		this.routes = routes;
		this.hosts = hosts;
		this.engineTime = engineTime;
		this.controlApi = controlApi;
		this.leadership = leadership;
		this.clock = clock;
		this.events = events;
	}

	/**
	 * Orders what is needed. Blocks during calls to the platform.
	 */
	public void run() {
		OptionalLong currentToken = this.leadership.tokenFor(CALL_TIMEOUT);
		RouteTable table = this.routes.current().orElse(null);
		if (currentToken.isEmpty() || table == null) {
			return;
		}
		if (currentToken.getAsLong() != this.token) {
			this.token = currentToken.getAsLong();
			this.scalers.clear();
			this.needs.clear();
		}
		for (UpstreamService service : table.services().values()) {
			if (service.scaling() != null) {
				scale(service.name(), service.scaling());
			}
		}
	}

	private void scale(String service, ScalingProperties properties) {
		long nowNanos = this.clock.nanoTime();
		List<ListedHost> listed = this.hosts.current().hosts(service);
		UpstreamNeed need = this.needs.computeIfAbsent(service, (name) -> new UpstreamNeed(nowNanos));
		need.recordEngineTime(this.engineTime.totalMillis(service), nowNanos);
		if (!need.isInitialCountKnown()) {
			// Upstreams that were ordered meanwhile would count as needed.
			need.recordInitialCount(UpstreamScaler.guaranteed(listed), nowNanos);
			return;
		}
		double needed = need.upstreams(nowNanos);
		UpstreamScaler scaler = this.scalers.computeIfAbsent(service, UpstreamScaler::new);
		for (UpstreamOrder order : scaler.decide(properties, listed, needed, nowNanos)) {
			send(order, scaler, properties, listed, needed);
		}
	}

	private void send(UpstreamOrder order, UpstreamScaler scaler, ScalingProperties properties, List<ListedHost> listed,
			double needed) {
		OptionalLong currentToken = this.leadership.tokenFor(CALL_TIMEOUT);
		if (currentToken.isEmpty()) {
			return;
		}
		long usedToken = currentToken.getAsLong();
		ControlResult result = this.controlApi.orderUpstreams(order, usedToken, CALL_TIMEOUT);
		scaler.onResult(order, result, properties.bootTime(), this.clock.nanoTime());
		int present = (int) listed.stream()
			.filter((host) -> host.state() == HostState.LIVE && host.preemptible() == order.preemptible()
					&& host.failureDomain().equals(order.failureDomain()))
			.count();
		this.events.record(new Event.UpstreamsOrdered(order.service(), order.failureDomain(), order.preemptible(),
				order.count(), present, needed, usedToken, result.name()));
	}

}
