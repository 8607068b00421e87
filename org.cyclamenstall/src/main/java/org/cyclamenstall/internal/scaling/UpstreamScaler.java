package org.cyclamenstall.internal.scaling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cyclamenstall.control.ControlResult;
import org.cyclamenstall.control.UpstreamOrder;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.routes.ScalingProperties;

/**
 * Decides how many upstreams of one service are ordered, of which kind and in which
 * failure domain. Preemptible upstreams are spread so that any one failure domain may
 * lose all of them and the others are enough; on-demand ones fill what those do not
 * guarantee. What is listed counts, not what was ordered: an order is given again if the
 * list does not show it in time. Performs no I/O. Not thread-safe. Times are in
 * nanoseconds on a clock that includes suspension.
 */
public final class UpstreamScaler {

	/** Share of all upstreams that may be given up at a time. */
	private static final double MAXIMUM_SHARE_GIVEN_UP = 0.25;

	/** Time between two steps in which on-demand upstreams are given up. */
	private static final long GIVE_UP_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

	/**
	 * Number of missing preemptible upstreams in a failure domain, as a share of the
	 * wanted ones, up to which none are ordered.
	 */
	private static final double TOLERATED_DEFICIT_SHARE = 0.1;

	/**
	 * Number of surplus preemptible upstreams in a failure domain, as a share of the
	 * wanted ones, up to which none are given up.
	 */
	private static final double TOLERATED_SURPLUS_SHARE = 0.5;

	private final Map<UpstreamKind, OrderState> states = new HashMap<>();

	private final Map<String, Integer> lastPreemptible = new HashMap<>();

	private final String service;

	private boolean hasGivenUp;

	private long gaveUpAtNanos;

	/**
	 * Creates a scaler.
	 * @param service the name of the service
	 */
	public UpstreamScaler(String service) {
		this.service = service;
	}

	/**
	 * Returns how many of the listed upstreams are certain to remain if the preemptible
	 * ones of any one failure domain are taken away.
	 * @param hosts the listed hosts of the service
	 * @return the number
	 */
	public static int guaranteed(List<ListedHost> hosts) {
		Map<String, Integer> preemptible = new HashMap<>();
		int live = 0;
		for (ListedHost host : hosts) {
			if (host.state() == HostState.LIVE) {
				live++;
				preemptible.merge(host.failureDomain(), host.preemptible() ? 1 : 0, Integer::sum);
			}
		}
		return live - preemptible.values().stream().mapToInt(Integer::intValue).max().orElse(0);
	}

	/**
	 * Decides what to order now.
	 * @param properties the properties of the service
	 * @param hosts the listed hosts of the service
	 * @param needed the number of upstreams that the service needs
	 * @param nowNanos the time
	 * @return the orders, at most one for each kind and failure domain; empty if no host
	 * is listed
	 */
	public List<UpstreamOrder> decide(ScalingProperties properties, List<ListedHost> hosts, double needed,
			long nowNanos) {
		if (hosts.isEmpty()) {
			return List.of();
		}
		Map<UpstreamKind, Integer> present = present(hosts);
		pauseDomainsThatWereTaken(properties, present, nowNanos);
		Map<UpstreamKind, Integer> wanted = new HashMap<>();
		if (usesPreemptible(properties)) {
			addWantedPreemptible(wanted, properties, present, needed, nowNanos);
		}
		addWantedOnDemand(wanted, properties, present, needed, nowNanos);
		List<UpstreamOrder> orders = new ArrayList<>();
		wanted.forEach((kind, count) -> {
			if (count != state(kind).expected(present.getOrDefault(kind, 0), nowNanos)) {
				orders.add(new UpstreamOrder(this.service, kind.failureDomain(), kind.preemptible(), count));
			}
		});
		return orders;
	}

	/**
	 * Records the result of an order.
	 * @param order the order
	 * @param result the result
	 * @param bootTime the time after which a new upstream serves
	 * @param nowNanos the time
	 */
	public void onResult(UpstreamOrder order, ControlResult result, Duration bootTime, long nowNanos) {
		state(new UpstreamKind(order.failureDomain(), order.preemptible())).record(order.count(), result,
				bootTime.toNanos(), nowNanos);
	}

	private OrderState state(UpstreamKind kind) {
		return this.states.computeIfAbsent(kind, (key) -> new OrderState());
	}

	private static Map<UpstreamKind, Integer> present(List<ListedHost> hosts) {
		Map<UpstreamKind, Integer> present = new HashMap<>();
		for (ListedHost host : hosts) {
			if (host.state() == HostState.LIVE) {
				present.merge(new UpstreamKind(host.failureDomain(), host.preemptible()), 1, Integer::sum);
			}
		}
		return present;
	}

	// The platform has none to give in a failure domain from which it has just taken all.
	private void pauseDomainsThatWereTaken(ScalingProperties properties, Map<UpstreamKind, Integer> present,
			long nowNanos) {
		for (String domain : properties.costByDomain().keySet()) {
			UpstreamKind kind = new UpstreamKind(domain, true);
			int count = present.getOrDefault(kind, 0);
			Integer previous = this.lastPreemptible.put(domain, count);
			if (count == 0 && previous != null && previous > 0) {
				state(kind).pause(nowNanos);
			}
		}
	}

	private static boolean usesPreemptible(ScalingProperties properties) {
		Double costShare = properties.preemptibleCostShare();
		int domains = properties.costByDomain().size();
		return costShare != null && domains > 1 && costShare * domains / (domains - 1) < 1;
	}

	private void addWantedPreemptible(Map<UpstreamKind, Integer> wanted, ScalingProperties properties,
			Map<UpstreamKind, Integer> present, double needed, long nowNanos) {
		List<String> domains = properties.costByDomain()
			.keySet()
			.stream()
			.filter((domain) -> !state(new UpstreamKind(domain, true)).isPaused(nowNanos))
			.toList();
		if (domains.size() < 2) {
			return;
		}
		int perDomain = (int) Math.ceil(needed / (domains.size() - 1));
		for (String domain : domains) {
			UpstreamKind kind = new UpstreamKind(domain, true);
			int room = properties.maximum() - present.getOrDefault(new UpstreamKind(domain, false), 0);
			int count = Math.max(0, Math.min(perDomain, room));
			int expected = state(kind).expected(present.getOrDefault(kind, 0), nowNanos);
			boolean tolerated = expected >= count * (1 - TOLERATED_DEFICIT_SHARE)
					&& expected <= count * (1 + TOLERATED_SURPLUS_SHARE);
			wanted.put(kind, tolerated ? expected : count);
		}
	}

	private void addWantedOnDemand(Map<UpstreamKind, Integer> wanted, ScalingProperties properties,
			Map<UpstreamKind, Integer> present, double needed, long nowNanos) {
		Supply supply = supply(wanted, properties, present, nowNanos);
		int kept = (int) Math.max(0, Math.ceil(needed - supply.guaranteedByPreemptible()));
		int shortage = (int) Math.ceil(needed - supply.expectedPreemptible() - supply.expectedOnDemand());
		int surplus = Math.min(supply.listedOnDemand(), supply.expectedOnDemand()) - kept;
		if (shortage > 0) {
			addOnDemand(wanted, properties, present, shortage, nowNanos);
		}
		else if (surplus > 0 && isGiveUpDue(nowNanos)) {
			int step = (int) Math.max(1,
					MAXIMUM_SHARE_GIVEN_UP * (supply.listedOnDemand() + supply.listedPreemptible()));
			giveUpOnDemand(wanted, properties, present, Math.min(surplus, step), nowNanos);
		}
	}

	private Supply supply(Map<UpstreamKind, Integer> wanted, ScalingProperties properties,
			Map<UpstreamKind, Integer> present, long nowNanos) {
		int listedPreemptible = 0;
		int expectedPreemptible = 0;
		int largestDomain = 0;
		int listedOnDemand = 0;
		int expectedOnDemand = 0;
		for (String domain : properties.costByDomain().keySet()) {
			UpstreamKind preemptible = new UpstreamKind(domain, true);
			UpstreamKind onDemand = new UpstreamKind(domain, false);
			int listed = present.getOrDefault(preemptible, 0);
			listedPreemptible += listed;
			largestDomain = Math.max(largestDomain, listed);
			expectedPreemptible += Math.max(listed,
					wanted.getOrDefault(preemptible, state(preemptible).expected(listed, nowNanos)));
			listedOnDemand += present.getOrDefault(onDemand, 0);
			expectedOnDemand += state(onDemand).expected(present.getOrDefault(onDemand, 0), nowNanos);
		}
		return new Supply(listedPreemptible, largestDomain, expectedPreemptible, listedOnDemand, expectedOnDemand);
	}

	private boolean isGiveUpDue(long nowNanos) {
		return !this.hasGivenUp || nowNanos - this.gaveUpAtNanos >= GIVE_UP_INTERVAL_NANOS;
	}

	private void addOnDemand(Map<UpstreamKind, Integer> wanted, ScalingProperties properties,
			Map<UpstreamKind, Integer> present, int count, long nowNanos) {
		int remaining = count;
		for (String domain : domainsByCost(properties, Comparator.naturalOrder())) {
			UpstreamKind kind = new UpstreamKind(domain, false);
			if (state(kind).isPaused(nowNanos)) {
				continue;
			}
			int expected = state(kind).expected(present.getOrDefault(kind, 0), nowNanos);
			int room = properties.maximum() - expected - present.getOrDefault(new UpstreamKind(domain, true), 0);
			int added = Math.max(0, Math.min(remaining, room));
			if (added > 0) {
				wanted.put(kind, expected + added);
				remaining -= added;
			}
		}
	}

	private void giveUpOnDemand(Map<UpstreamKind, Integer> wanted, ScalingProperties properties,
			Map<UpstreamKind, Integer> present, int count, long nowNanos) {
		int remaining = count;
		for (String domain : domainsByCost(properties, Comparator.reverseOrder())) {
			UpstreamKind kind = new UpstreamKind(domain, false);
			int listed = present.getOrDefault(kind, 0);
			int expected = Math.min(listed, state(kind).expected(listed, nowNanos));
			int floor = Math.max(0, properties.minimum() - present.getOrDefault(new UpstreamKind(domain, true), 0));
			int removed = Math.max(0, Math.min(remaining, expected - floor));
			if (removed > 0 && !state(kind).isPaused(nowNanos)) {
				wanted.put(kind, expected - removed);
				remaining -= removed;
				this.hasGivenUp = true;
				this.gaveUpAtNanos = nowNanos;
			}
		}
	}

	private static List<String> domainsByCost(ScalingProperties properties, Comparator<Double> order) {
		return properties.costByDomain()
			.entrySet()
			.stream()
			.sorted(Map.Entry.<String, Double>comparingByValue(order).thenComparing(Map.Entry.comparingByKey()))
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Upstreams in all failure domains.
	 *
	 * @param listedPreemptible the preemptible ones that are listed and not leaving
	 * @param largestDomain the number of those in the failure domain with the most
	 * @param expectedPreemptible the preemptible ones after the orders that are under way
	 * @param listedOnDemand the on-demand ones that are listed and not leaving
	 * @param expectedOnDemand the on-demand ones after the orders that are under way
	 */
	private record Supply(int listedPreemptible, int largestDomain, int expectedPreemptible, int listedOnDemand,
			int expectedOnDemand) {

		int guaranteedByPreemptible() {
			return this.listedPreemptible - this.largestDomain;
		}

	}

}
