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
import org.cyclamenstall.internal.policy.limits.LimitShare;
import org.cyclamenstall.internal.policy.limits.PeerDemand;
import org.cyclamenstall.internal.policy.queue.Scheduler;
import org.cyclamenstall.internal.policy.upstream.LatencyWindow;
import org.cyclamenstall.internal.policy.upstream.Upstream;
import org.cyclamenstall.internal.policy.upstream.UpstreamChoice;
import org.cyclamenstall.policy.AttemptResult;
import org.jspecify.annotations.Nullable;

/**
 * Holds the upstreams of one service, the requests that wait for them and the grants that
 * run. A tier that found no slot is not looked at again until a grant ends or the next
 * refresh. An upstream that left the list stays known to its grants only. Not
 * thread-safe: the controller's lock guards it.
 */
final class ServicePool {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long WITHOUT_LIVE_NANOS = 2_000_000_000L;

	private final String service;

	private final PolicySet policies;

	private final PeerDemand peers;

	private final Scheduler<PolicyTicket> queue;

	private final UpstreamChoice choice;

	private final SlotRules slotRules;

	private final EjectionRule ejection = new EjectionRule();

	private final LatencyWindow usual = new LatencyWindow();

	private final Map<String, Upstream> upstreamsByKey = new LinkedHashMap<>();

	private final Set<PolicyGrant> running = new LinkedHashSet<>();

	private final Set<PolicyGrant> preemptible = new LinkedHashSet<>();

	private final Map<Tier, Integer> inFlight = new EnumMap<>(Tier.class);

	private List<Upstream> upstreams = List.of();

	private final boolean[] full = new boolean[Tier.values().length];

	private int preempting;

	private long lostAllAtNanos;

	ServicePool(String service, PolicySet policies, LimitShare share, PeerDemand peers) {
		this.service = service;
		this.policies = policies;
		this.peers = peers;
		this.queue = policies.newScheduler();
		this.choice = policies.newUpstreamChoice();
		this.slotRules = new SlotRules(service, policies.tiers(), share, peers);
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

	Stream<UpstreamUse> upstreamUse(long nowNanos) {
		return upstreams().stream().map((upstream) -> use(upstream, nowNanos));
	}

	private UpstreamUse use(Upstream upstream, long nowNanos) {
		double averageNanos = upstream.firstTokenAverage().valueOr(0);
		return new UpstreamUse(upstream.host(), condition(upstream, nowNanos), upstream.inFlight(),
				slotRules().allowed(upstream),
				(averageNanos > 0) ? Double.valueOf(averageNanos / NANOS_PER_SECOND) : null);
	}

	private static UpstreamUse.Condition condition(Upstream upstream, long nowNanos) {
		if (upstream.host().state() == HostState.LEAVING) {
			return UpstreamUse.Condition.LEAVING;
		}
		if (!upstream.isLive(nowNanos)) {
			return UpstreamUse.Condition.CLOSED;
		}
		return upstream.health().isEjected(nowNanos) ? UpstreamUse.Condition.EJECTED : UpstreamUse.Condition.LIVE;
	}

	LatencyWindow usual() {
		return this.usual;
	}

	SlotRules slotRules() {
		return this.slotRules;
	}

	Set<PolicyGrant> running() {
		return this.running;
	}

	void listed(List<ListedHost> hosts) {
		Map<String, Upstream> earlier = new LinkedHashMap<>(this.upstreamsByKey);
		this.upstreamsByKey.clear();
		for (ListedHost host : hosts) {
			String key = Upstream.keyOf(host);
			Upstream known = earlier.get(key);
			if (known != null) {
				known.listed(host);
			}
			this.upstreamsByKey.put(key, (known != null) ? known : newUpstream(host));
		}
		this.upstreams = new ArrayList<>(this.upstreamsByKey.values());
	}

	private Upstream newUpstream(ListedHost host) {
		return new Upstream(host, this.policies.newWindow(), this.policies.settings().slotsPerUpstream());
	}

	boolean hasLive(long nowNanos) {
		for (Upstream upstream : this.upstreams) {
			if (upstream.isLive(nowNanos)) {
				return true;
			}
		}
		return false;
	}

	boolean isWithoutLive(long nowNanos) {
		if (this.queue.size() == 0 || hasLive(nowNanos)) {
			this.lostAllAtNanos = nowNanos;
			return false;
		}
		return nowNanos - this.lostAllAtNanos >= WITHOUT_LIVE_NANOS;
	}

	boolean hasOtherLive(PolicyTicket ticket, long nowNanos) {
		for (Upstream upstream : this.upstreams) {
			if (upstream.isLive(nowNanos) && !ticket.tried().contains(upstream)) {
				return true;
			}
		}
		return false;
	}

	@Nullable Upstream findUpstream(PolicyTicket ticket, boolean aged, long nowNanos) {
		if (!this.slotRules.hasRoom(ticket.tier(), aged)) {
			return null;
		}
		boolean selective = !ticket.tried().isEmpty();
		if (this.full[ticket.tier().ordinal()] && !selective && !aged) {
			return null;
		}
		Upstream found = choose(ticket, aged, nowNanos);
		if (found == null && !selective && !aged) {
			this.full[ticket.tier().ordinal()] = true;
		}
		return found;
	}

	private @Nullable Upstream choose(PolicyTicket ticket, boolean aged, long nowNanos) {
		boolean avoidTried = !ticket.tried().isEmpty() && hasOtherLive(ticket, nowNanos);
		return this.choice.choose(
				this.upstreams, (upstream) -> !(avoidTried && ticket.tried().contains(upstream))
						&& upstream.acceptsWork(nowNanos) && this.slotRules.fits(upstream, ticket.tier(), aged),
				this.usual, nowNanos);
	}

	void started(PolicyGrant grant, long nowNanos) {
		Tier tier = grant.ticket().tier();
		this.running.add(grant);
		if (PreemptionRule.isPreemptible(grant.ticket())) {
			this.preemptible.add(grant);
		}
		this.inFlight.merge(tier, 1, Integer::sum);
		this.slotRules.started(tier, grant.isAged());
		grant.upstreamState().started(grant, tier, grant.isTimed(), nowNanos);
		grant.ticket().tried().add(grant.upstreamState());
	}

	void firstToken(PolicyGrant grant, long durationNanos, long nowNanos) {
		if (grant.isTimed()) {
			this.usual.record(durationNanos, nowNanos);
			grant.upstreamState().firstToken(grant, durationNanos);
		}
	}

	void ended(PolicyGrant grant, AttemptResult result, long nowNanos) {
		Tier tier = grant.ticket().tier();
		Arrays.fill(this.full, false);
		this.running.remove(grant);
		this.preemptible.remove(grant);
		this.preempting -= grant.isPreempting() ? 1 : 0;
		this.inFlight.merge(tier, -1, Integer::sum);
		this.slotRules.ended(tier, grant.isAged());
		grant.upstreamState().ended(grant, tier, nowNanos - grant.startedAtNanos());
		judge(grant, result, nowNanos);
	}

	private void judge(PolicyGrant grant, AttemptResult result, long nowNanos) {
		Upstream upstream = grant.upstreamState();
		switch (result) {
			case COMPLETED -> {
				upstream.health().succeeded();
				upstream.window().tokenGap(grant.averageGapNanos());
			}
			case UNREACHABLE -> upstream.health().unreachable(nowNanos);
			case REFUSED -> upstream.window().refused();
			case TIMED_OUT, CONNECTION_LOST, ANSWER_INVALID -> {
				if (upstream.health().failed()) {
					this.ejection.eject(upstream, this.upstreams, nowNanos);
				}
			}
			default -> {
			}
		}
	}

	Set<PolicyGrant> preemptible() {
		return this.preemptible;
	}

	void preemptingStarted(PolicyGrant grant) {
		this.preemptible.remove(grant);
		this.preempting++;
	}

	int preempting() {
		return this.preempting;
	}

	int inFlight(Tier tier) {
		return this.inFlight.getOrDefault(tier, 0);
	}

	private double wanted(Tier tier) {
		int now = inFlight(tier) + this.queue.size(tier);
		if (tier != Tier.INTERACTIVE) {
			return now;
		}
		double peak = this.slotRules.peak(tier);
		return peak + Math.sqrt(peak);
	}

	void addDemand(DemandCollector collector) {
		for (Tier tier : Tier.values()) {
			collector.limit(this.slotRules.limitName(tier), wanted(tier));
		}
		collector.limit(this.slotRules.agedLimitName(),
				this.queue.size() - this.queue.size(Tier.INTERACTIVE) + this.slotRules.agedInFlight());
		for (Upstream upstream : this.upstreams) {
			collector.inFlight(upstream.key(), upstream.inFlight());
		}
	}

	Tier lowestSheddable() {
		Tier lowest = Tier.INTERACTIVE;
		for (Tier tier : Tier.values()) {
			lowest = this.queue.hasSheddable(tier) ? tier : lowest;
		}
		return lowest;
	}

	void demandChanged(long nowNanos) {
		for (Tier tier : Tier.values()) {
			this.slotRules.demand(tier, inFlight(tier) + this.queue.size(tier), nowNanos);
		}
	}

	void refresh(long nowNanos) {
		for (Upstream upstream : this.upstreams) {
			upstream.peersInFlight(this.peers.inFlight(upstream.key()));
		}
		Arrays.fill(this.full, false);
		demandChanged(nowNanos);
		this.slotRules.refresh(this.upstreams, nowNanos);
		if (this.policies.expectedLatency()) {
			this.ejection.apply(this.upstreams, this.usual, nowNanos);
		}
	}

}
