package org.cyclamenstall.test.scaling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.cyclamenstall.control.ControlResult;
import org.cyclamenstall.control.UpstreamOrder;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.scaling.UpstreamScaler;
import org.cyclamenstall.routes.ScalingProperties;

/**
 * Upstreams of one service on simulated time: orders are carried out after the boot time,
 * and surplus upstreams drain before they are gone. Not thread-safe.
 */
final class OrderedUpstreams {

	static final List<String> DOMAINS = List.of("a", "b", "c", "d");

	static final Duration BOOT_TIME = Duration.ofSeconds(4);

	private static final Duration DRAIN_TIME = Duration.ofSeconds(3);

	private static final Duration STEP = Duration.ofMillis(500);

	private final List<Upstream> upstreams = new ArrayList<>();

	/** Failure domains in which no preemptible upstream can be had. */
	final Set<String> dryDomains = new HashSet<>();

	final List<UpstreamOrder> orders = new ArrayList<>();

	ScalingProperties properties = new ScalingProperties(1, 21, BOOT_TIME, 0.22,
			Map.of("a", 0.85, "b", 1.2, "c", 1.0, "d", 1.1));

	UpstreamScaler scaler = new UpstreamScaler("engines");

	/** Whether orders are lost without an answer. */
	boolean loosesOrders;

	int smallestLiveCount = Integer.MAX_VALUE;

	private int created;

	private long nowNanos;

	OrderedUpstreams(int onDemandPerDomain) {
		for (String domain : DOMAINS) {
			for (int count = 0; count < onDemandPerDomain; count++) {
				add(domain, false, 0);
			}
		}
	}

	private void add(String domain, boolean preemptible, long liveAtNanos) {
		this.created++;
		this.upstreams.add(new Upstream("engine-" + this.created, domain, preemptible, liveAtNanos));
	}

	/**
	 * Lets time pass and the scaler decide in each step.
	 */
	OrderedUpstreams run(Duration duration, double needed) {
		for (long step = 0; step < duration.dividedBy(STEP); step++) {
			this.nowNanos += STEP.toNanos();
			this.upstreams.removeIf((upstream) -> upstream.goneAtNanos - this.nowNanos <= 0);
			this.smallestLiveCount = Math.min(this.smallestLiveCount, live());
			for (UpstreamOrder order : this.scaler.decide(this.properties, hosts(), needed, this.nowNanos)) {
				this.scaler.onResult(order, carryOut(order), BOOT_TIME, this.nowNanos);
			}
		}
		return this;
	}

	private ControlResult carryOut(UpstreamOrder order) {
		this.orders.add(order);
		if (this.loosesOrders) {
			return ControlResult.UNKNOWN;
		}
		List<Upstream> current = this.upstreams.stream()
			.filter((upstream) -> upstream.isOf(order) && !upstream.isLeaving())
			.toList();
		if (order.preemptible() && order.count() > current.size() && this.dryDomains.contains(order.failureDomain())) {
			return ControlResult.CONFLICT;
		}
		for (int count = current.size(); count < order.count(); count++) {
			add(order.failureDomain(), order.preemptible(), this.nowNanos + BOOT_TIME.toNanos());
		}
		current.stream()
			.limit(Math.max(0, current.size() - order.count()))
			.forEach((upstream) -> upstream.goneAtNanos = this.nowNanos + DRAIN_TIME.toNanos());
		return ControlResult.ACCEPTED;
	}

	/**
	 * Takes all preemptible upstreams of a failure domain away.
	 */
	void take(String domain) {
		this.upstreams.stream()
			.filter((upstream) -> upstream.preemptible && upstream.domain.equals(domain))
			.forEach((upstream) -> upstream.goneAtNanos = this.nowNanos + Duration.ofSeconds(2).toNanos());
	}

	List<ListedHost> hosts() {
		return this.upstreams.stream()
			.filter((upstream) -> upstream.liveAtNanos - this.nowNanos <= 0)
			.map(Upstream::host)
			.toList();
	}

	int live() {
		return (int) hosts().stream().filter((host) -> host.state() == HostState.LIVE).count();
	}

	int live(boolean preemptible) {
		return (int) hosts().stream()
			.filter((host) -> host.state() == HostState.LIVE && host.preemptible() == preemptible)
			.count();
	}

	int guaranteed() {
		return UpstreamScaler.guaranteed(hosts());
	}

	private static final class Upstream {

		private final String name;

		private final String domain;

		private final boolean preemptible;

		private final long liveAtNanos;

		private long goneAtNanos = Long.MAX_VALUE;

		Upstream(String name, String domain, boolean preemptible, long liveAtNanos) {
			this.name = name;
			this.domain = domain;
			this.preemptible = preemptible;
			this.liveAtNanos = liveAtNanos;
		}

		boolean isLeaving() {
			return this.goneAtNanos != Long.MAX_VALUE;
		}

		boolean isOf(UpstreamOrder order) {
			return this.domain.equals(order.failureDomain()) && this.preemptible == order.preemptible();
		}

		ListedHost host() {
			return new ListedHost("engines", this.name, "127.0.0.1", 1, this.domain,
					isLeaving() ? HostState.LEAVING : HostState.LIVE, 32, 1, this.preemptible);
		}

	}

}
