package org.cyclamenstall.internal.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.policy.limits.DemandTracker;
import org.cyclamenstall.internal.policy.limits.ShareAllocator;
import org.cyclamenstall.internal.policy.queue.Scheduler;
import org.cyclamenstall.internal.policy.upstream.LatencyHistogram;
import org.cyclamenstall.internal.policy.upstream.Upstream;
import org.cyclamenstall.internal.policy.upstream.UpstreamSelector;
import org.cyclamenstall.policy.AttemptResult;
import org.jspecify.annotations.Nullable;

/**
 * Manages the upstreams, the queue and the running grants of one service. When no slot
 * was found for a tier, first attempts of this tier are not tried again until a grant
 * ends or the next refresh. An upstream that was removed from the host list is only
 * referenced by its remaining grants. Not thread-safe: guarded by the controller's lock.
 */
final class ServicePool {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long NO_LIVE_UPSTREAM_GRACE_NANOS = 2_000_000_000L;

	private final String service;

	private final PolicyFactory policies;

	private final DemandTracker demandTracker;

	private final Scheduler<PolicyTicket> queue;

	private final UpstreamSelector upstreamSelector;

	private final SlotPolicy slotPolicy;

	private final EjectionPolicy ejectionPolicy = new EjectionPolicy();

	private final LatencyHistogram firstTokenLatency = new LatencyHistogram();

	private final Map<String, Upstream> upstreamsByKey = new LinkedHashMap<>();

	private final Set<PolicyGrant> running = new LinkedHashSet<>();

	private final Set<PolicyGrant> preemptible = new LinkedHashSet<>();

	private final Map<Tier, Integer> inFlight = new EnumMap<>(Tier.class);

	private List<Upstream> upstreams = List.of();

	private final boolean[] tierHasNoSlot = new boolean[Tier.values().length];

	private int preemptingCount;

	/** Last time at which no queued request lacked a live upstream. */
	private long lastAvailableAtNanos;

	ServicePool(String service, PolicyFactory policies, ShareAllocator allocator, DemandTracker demandTracker) {
		this.service = service;
		this.policies = policies;
		this.demandTracker = demandTracker;
		this.queue = policies.newScheduler();
		this.upstreamSelector = policies.newUpstreamSelector();
		this.slotPolicy = new SlotPolicy(service, policies.usesTiers(), allocator, demandTracker);
	}

	String service() {
		return this.service;
	}

	Scheduler<PolicyTicket> queue() {
		return this.queue;
	}

	List<Upstream> upstreams() {
		return this.upstreams;
	}

	Stream<UpstreamStatus> upstreamStatuses(long nowNanos) {
		return upstreams().stream().map((upstream) -> status(upstream, nowNanos));
	}

	private UpstreamStatus status(Upstream upstream, long nowNanos) {
		double averageNanos = upstream.firstTokenAverage().valueOr(0);
		return new UpstreamStatus(upstream.host(), condition(upstream, nowNanos), upstream.inFlight(),
				slotPolicy().maximumInFlight(upstream),
				(averageNanos > 0) ? Double.valueOf(averageNanos / NANOS_PER_SECOND) : null);
	}

	private static UpstreamStatus.Condition condition(Upstream upstream, long nowNanos) {
		if (upstream.host().state() == HostState.LEAVING) {
			return UpstreamStatus.Condition.LEAVING;
		}
		if (!upstream.isLive(nowNanos)) {
			return UpstreamStatus.Condition.CLOSED;
		}
		return upstream.health().isEjected(nowNanos) ? UpstreamStatus.Condition.EJECTED : UpstreamStatus.Condition.LIVE;
	}

	LatencyHistogram firstTokenLatency() {
		return this.firstTokenLatency;
	}

	SlotPolicy slotPolicy() {
		return this.slotPolicy;
	}

	Set<PolicyGrant> running() {
		return this.running;
	}

	void updateHosts(List<ListedHost> hosts) {
		Map<String, Upstream> previous = new LinkedHashMap<>(this.upstreamsByKey);
		this.upstreamsByKey.clear();
		for (ListedHost host : hosts) {
			String key = Upstream.keyOf(host);
			Upstream existing = previous.get(key);
			if (existing != null) {
				existing.updateHost(host);
			}
			this.upstreamsByKey.put(key, (existing != null) ? existing : newUpstream(host));
		}
		this.upstreams = new ArrayList<>(this.upstreamsByKey.values());
	}

	private Upstream newUpstream(ListedHost host) {
		return new Upstream(host, this.policies.newWindow(), this.policies.settings().slotsPerUpstream());
	}

	boolean hasLiveUpstream(long nowNanos) {
		for (Upstream upstream : this.upstreams) {
			if (upstream.isLive(nowNanos)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns whether requests have been queued without a live upstream for longer than
	 * the grace period.
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} if the queued requests should be refused
	 */
	boolean hasLostAllUpstreams(long nowNanos) {
		if (this.queue.size() == 0 || hasLiveUpstream(nowNanos)) {
			this.lastAvailableAtNanos = nowNanos;
			return false;
		}
		return nowNanos - this.lastAvailableAtNanos >= NO_LIVE_UPSTREAM_GRACE_NANOS;
	}

	boolean hasUntriedLiveUpstream(PolicyTicket ticket, long nowNanos) {
		for (Upstream upstream : this.upstreams) {
			if (upstream.isLive(nowNanos) && !ticket.triedUpstreams().contains(upstream)) {
				return true;
			}
		}
		return false;
	}

	@Nullable Upstream findUpstream(PolicyTicket ticket, boolean byAge, long nowNanos) {
		if (!this.slotPolicy.hasCapacity(ticket.tier(), byAge)) {
			return null;
		}
		boolean retried = !ticket.triedUpstreams().isEmpty();
		if (this.tierHasNoSlot[ticket.tier().ordinal()] && !retried && !byAge) {
			return null;
		}
		Upstream found = selectUpstream(ticket, byAge, nowNanos);
		if (found == null && !retried && !byAge) {
			this.tierHasNoSlot[ticket.tier().ordinal()] = true;
		}
		return found;
	}

	private @Nullable Upstream selectUpstream(PolicyTicket ticket, boolean byAge, long nowNanos) {
		boolean avoidTriedUpstreams = !ticket.triedUpstreams().isEmpty() && hasUntriedLiveUpstream(ticket, nowNanos);
		return this.upstreamSelector.select(this.upstreams,
				(upstream) -> !(avoidTriedUpstreams && ticket.triedUpstreams().contains(upstream))
						&& upstream.acceptsRequests(nowNanos)
						&& this.slotPolicy.hasSlot(upstream, ticket.tier(), byAge),
				this.firstTokenLatency, nowNanos);
	}

	void recordStart(PolicyGrant grant, long nowNanos) {
		Tier tier = grant.ticket().tier();
		this.running.add(grant);
		if (PreemptionPolicy.isPreemptible(grant.ticket())) {
			this.preemptible.add(grant);
		}
		this.inFlight.merge(tier, 1, Integer::sum);
		this.slotPolicy.recordStart(tier, grant.isGrantedByAge());
		grant.upstreamState().recordStart(grant, tier, grant.isLatencySample(), nowNanos);
		grant.ticket().triedUpstreams().add(grant.upstreamState());
	}

	void recordFirstToken(PolicyGrant grant, long durationNanos, long nowNanos) {
		if (grant.isLatencySample()) {
			this.firstTokenLatency.record(durationNanos, nowNanos);
			grant.upstreamState().recordFirstToken(grant, durationNanos);
		}
	}

	void recordEnd(PolicyGrant grant, AttemptResult result, long nowNanos) {
		Tier tier = grant.ticket().tier();
		Arrays.fill(this.tierHasNoSlot, false);
		this.running.remove(grant);
		this.preemptible.remove(grant);
		this.preemptingCount -= grant.isPreempting() ? 1 : 0;
		this.inFlight.merge(tier, -1, Integer::sum);
		this.slotPolicy.recordEnd(tier, grant.isGrantedByAge());
		grant.upstreamState().recordEnd(grant, tier, nowNanos - grant.startedAtNanos());
		updateHealth(grant, result, nowNanos);
	}

	private void updateHealth(PolicyGrant grant, AttemptResult result, long nowNanos) {
		Upstream upstream = grant.upstreamState();
		switch (result) {
			case COMPLETED -> {
				upstream.health().recordSuccess();
				upstream.window().recordTokenGap(grant.averageTokenGapNanos());
			}
			case UNREACHABLE -> upstream.health().recordUnreachable(nowNanos);
			case REFUSED -> upstream.window().recordRefusal();
			case TIMED_OUT, CONNECTION_LOST, ANSWER_INVALID -> {
				if (upstream.health().recordFailure()) {
					this.ejectionPolicy.ejectIfAllowed(upstream, this.upstreams, nowNanos);
				}
			}
			default -> {
			}
		}
	}

	Set<PolicyGrant> preemptible() {
		return this.preemptible;
	}

	void recordPreempting(PolicyGrant grant) {
		this.preemptible.remove(grant);
		this.preemptingCount++;
	}

	int preemptingCount() {
		return this.preemptingCount;
	}

	int inFlight(Tier tier) {
		return this.inFlight.getOrDefault(tier, 0);
	}

	private double expectedDemand(Tier tier) {
		int current = inFlight(tier) + this.queue.size(tier);
		if (tier != Tier.INTERACTIVE) {
			return current;
		}
		double peak = this.slotPolicy.peakDemand(tier);
		return peak + Math.sqrt(peak);
	}

	void addDemand(DemandCollector collector) {
		for (Tier tier : Tier.values()) {
			collector.addLimitDemand(this.slotPolicy.limitName(tier), expectedDemand(tier));
		}
		collector.addLimitDemand(this.slotPolicy.agedLimitName(),
				this.queue.size() - this.queue.size(Tier.INTERACTIVE) + this.slotPolicy.agedInFlight());
		for (Upstream upstream : this.upstreams) {
			collector.addInFlight(upstream.key(), upstream.inFlight());
		}
	}

	/**
	 * Returns the lowest tier with a queued request that may be shed.
	 * @return the tier, or the highest tier if there is no such request
	 */
	Tier lowestSheddableTier() {
		Tier lowestTier = Tier.INTERACTIVE;
		for (Tier tier : Tier.values()) {
			lowestTier = this.queue.hasSheddable(tier) ? tier : lowestTier;
		}
		return lowestTier;
	}

	void updateDemand(long nowNanos) {
		for (Tier tier : Tier.values()) {
			this.slotPolicy.recordDemand(tier, inFlight(tier) + this.queue.size(tier), nowNanos);
		}
	}

	void refresh(long nowNanos) {
		for (Upstream upstream : this.upstreams) {
			upstream.setPeersInFlight(this.demandTracker.peersInFlight(upstream.key()));
		}
		Arrays.fill(this.tierHasNoSlot, false);
		updateDemand(nowNanos);
		this.slotPolicy.refresh(this.upstreams, nowNanos);
		if (this.policies.usesExpectedLatency()) {
			this.ejectionPolicy.ejectSlow(this.upstreams, this.firstTokenLatency, nowNanos);
		}
	}

}
