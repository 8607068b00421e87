package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.internal.peers.load.FleetLoad;
import org.cyclamenstall.policy.RequestAttributes;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the upstream with the lowest expected cost in prompt tokens. The cost consists
 * of pending prefill at the upstream, prompt tokens that are not cached there, running
 * requests, and penalties for failure domain, engine partition and health. All of these
 * but the health penalty are multiplied by the relative latency of the upstream. The
 * penalty for the engine partition keeps long prompts away from engines reserved for
 * latency-sensitive streams. Requests that share a prompt prefix prefer the same engines
 * on all daemons, so that sessions find their prefix cached. Not thread-safe.
 */
final class LeastCostPlacement implements PlacementStrategy {

	/** Cost of each request in flight at an engine. */
	private static final double RUNNING_REQUEST_TOKENS = 60;

	/** Cost of placing a short prompt or a plain request in another failure domain. */
	private static final double CROSS_DOMAIN_TOKENS = 1_500;

	/** Cost of placing a long prompt on a reserved engine. */
	private static final double LONG_PROMPT_ON_RESERVED_TOKENS = 300_000;

	/** Cost of placing a short, latency-insensitive prompt on a reserved engine. */
	private static final double SHORT_PROMPT_ON_RESERVED_TOKENS = 20_000;

	/** Cost of placing a latency-sensitive request on an unreserved engine. */
	private static final double LATENCY_SENSITIVE_ON_UNRESERVED_TOKENS = 12_000;

	/**
	 * Assumed ratio of the pending prefill of all daemons to that of this daemon, while
	 * the load of the others is not known.
	 */
	private static final double UNKNOWN_LOAD_FACTOR = 2;

	/**
	 * Cost of each request by which an upstream exceeds its slots. Such requests wait in
	 * the upstream, or displace less urgent ones.
	 */
	private static final double REQUEST_BEYOND_SLOTS_TOKENS = 4_000;

	/** Longest latency objective for which pending prefill counts in full. */
	private static final double URGENT_OBJECTIVE_NANOS = 300e6;

	/**
	 * Maximum cost above the cheapest upstream at which an urgent request is placed
	 * instead of waiting; scaled down for less urgent requests.
	 */
	private static final double MAXIMUM_EXCESS_TOKENS = 15_000;

	/** Share of the latency objective within which a first event is in good time. */
	private static final double COMFORTABLE_OBJECTIVE_SHARE = 0.5;

	/** Cost of an upstream whose recent attempts all failed. */
	private static final double FAILURE_SHARE_TOKENS = 40_000;

	private static final double UNRESPONSIVE_TOKENS = 400_000;

	/**
	 * Maximum random cost, added so that daemons with the same state do not all choose
	 * the same upstream.
	 */
	private static final double TIE_BREAK_TOKENS = 200;

	private final String failureDomain;

	private final FleetLoad fleetLoad;

	private final UniformRandomProvider random;

	LeastCostPlacement(String failureDomain, FleetLoad fleetLoad, UniformRandomProvider random) {
		this.failureDomain = failureDomain;
		this.fleetLoad = fleetLoad;
		this.random = random;
	}

	@Override
	public @Nullable PlacementUpstream choose(List<PlacementUpstream> upstreams, Predicate<PlacementUpstream> hasRoom,
			EnginePartition partition, EngineSpeed engineSpeed, RequestAttributes attributes, long nowNanos) {
		PrefixAffinity affinity = PrefixAffinity.of(upstreams, partition, attributes);
		PlacementUpstream best = null;
		double bestCost = Double.MAX_VALUE;
		double lowestCost = Double.MAX_VALUE;
		for (PlacementUpstream candidate : upstreams) {
			double cost = cost(candidate, partition, engineSpeed, attributes, affinity, nowNanos);
			lowestCost = Math.min(lowestCost, cost);
			if (cost < bestCost && hasRoom.test(candidate)) {
				best = candidate;
				bestCost = cost;
			}
		}
		return (bestCost <= lowestCost + MAXIMUM_EXCESS_TOKENS * urgency(attributes)) ? best : null;
	}

	private double cost(PlacementUpstream candidate, EnginePartition partition, EngineSpeed engineSpeed,
			RequestAttributes attributes, PrefixAffinity affinity, long nowNanos) {
		double cost = (attributes.promptTokens() > 0)
				? engineCost(candidate, partition, engineSpeed, attributes, affinity) : plainCost(candidate);
		return cost * candidate.relativeLatency().factor(nowNanos) + healthPenalty(candidate, nowNanos)
				+ this.random.nextDouble() * TIE_BREAK_TOKENS;
	}

	private double engineCost(PlacementUpstream upstream, EnginePartition partition, EngineSpeed engineSpeed,
			RequestAttributes attributes, PrefixAffinity affinity) {
		double uncached = Math.min(upstream.uncachedTokens(attributes.options().prompt()),
				attributes.promptTokens() - affinity.cachedTokens(upstream));
		double cost = uncached + pendingPrefillCost(upstream, engineSpeed, attributes, uncached)
				+ upstream.fleetInFlight() * RUNNING_REQUEST_TOKENS + beyondSlotsCost(upstream) * urgency(attributes);
		cost += partitionPenalty(upstream, partition, attributes);
		return EnginePartition.isLongPrompt(attributes) ? cost : cost + crossDomainCost(upstream);
	}

	// If the load of all daemons is known, the prompts ahead of a request cost little
	// while it still gets its first event well before its objective, so that a session
	// stays where its prefix is cached.
	private double pendingPrefillCost(PlacementUpstream upstream, EngineSpeed engineSpeed, RequestAttributes attributes,
			double uncached) {
		double pending = upstream.pendingPrefillAhead(attributes);
		Duration objective = attributes.options().latencyObjective();
		if (!this.fleetLoad.isKnown() || objective == null) {
			return pending * UNKNOWN_LOAD_FACTOR * urgency(attributes);
		}
		double tokensInTime = engineSpeed.promptTokensIn(objective.toNanos() * COMFORTABLE_OBJECTIVE_SHARE);
		double ratio = Math.min(1, (pending + uncached) / tokensInTime);
		return pending * urgency(attributes) * ratio * ratio;
	}

	private static double urgency(RequestAttributes attributes) {
		Duration objective = attributes.options().latencyObjective();
		return (objective != null) ? Math.min(1, URGENT_OBJECTIVE_NANOS / objective.toNanos()) : 1;
	}

	private static double partitionPenalty(PlacementUpstream upstream, EnginePartition partition,
			RequestAttributes attributes) {
		boolean latencySensitive = EnginePartition.isLatencySensitive(attributes);
		if (latencySensitive == partition.isReserved(upstream)) {
			return 0;
		}
		if (latencySensitive) {
			return LATENCY_SENSITIVE_ON_UNRESERVED_TOKENS;
		}
		return EnginePartition.isLongPrompt(attributes) ? LONG_PROMPT_ON_RESERVED_TOKENS
				: SHORT_PROMPT_ON_RESERVED_TOKENS;
	}

	private double plainCost(PlacementUpstream upstream) {
		return (upstream.fleetInFlight() + 1) * PlacementTicket.PLAIN_REQUEST_TOKENS + beyondSlotsCost(upstream)
				+ crossDomainCost(upstream);
	}

	private static double beyondSlotsCost(PlacementUpstream upstream) {
		int slots = upstream.host().slots();
		int requestsBeyondSlots = upstream.fleetInFlight() + 1 - slots;
		return (slots > 0 && requestsBeyondSlots > 0) ? requestsBeyondSlots * REQUEST_BEYOND_SLOTS_TOKENS : 0;
	}

	private double crossDomainCost(PlacementUpstream upstream) {
		return upstream.host().failureDomain().equals(this.failureDomain) ? 0 : CROSS_DOMAIN_TOKENS;
	}

	private static double healthPenalty(PlacementUpstream upstream, long nowNanos) {
		return upstream.health().failureShare(nowNanos) * FAILURE_SHARE_TOKENS
				+ (upstream.isUnresponsive(nowNanos) ? UNRESPONSIVE_TOKENS : 0);
	}

}
