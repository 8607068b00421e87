package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.policy.RequestFacts;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the upstream where a request is expected to cost least, counted in prompt
 * tokens to read: those of earlier requests, its own that are not cached there, and what
 * running requests, distance and distrust add. Prompts that share their beginning have a
 * home that all daemons agree on without a message. Answers the load patterns of mixed
 * long and short prompts and of sessions that come back. Not thread-safe.
 */
final class LeastCostPlacement implements Placement {

	/** What one running request of an engine costs the next one. */
	private static final double TOKENS_PER_RUNNING = 60;

	/** What it costs a short request or one to a plain service to leave the domain. */
	private static final double TOKENS_PER_CROSSING = 1_500;

	/** What a long prompt costs on a quiet engine. */
	private static final double TOKENS_OF_INTRUSION = 300_000;

	/** What a short prompt that needs no quiet costs on a quiet engine. */
	private static final double TOKENS_OF_DISTURBANCE = 20_000;

	/** What a request that needs quiet costs on any other engine. */
	private static final double TOKENS_OF_EXPOSURE = 12_000;

	/** How much more unread there is than this daemon knows of. */
	private static final double UNSEEN_FACTOR = 2;

	/** The objective up to which all unread work before a request counts in full. */
	private static final double URGENT_NANOS = 300e6;

	/** How much worse than the best a choice may be rather than to wait for the best. */
	private static final double TOKENS_OF_PATIENCE = 15_000;

	private static final double TOKENS_PER_FAILURE = 40_000;

	private static final double TOKENS_OF_SILENCE = 400_000;

	/** Breaks ties, so that daemons that know the same do not choose the same. */
	private static final double TOKENS_OF_CHANCE = 200;

	private final String failureDomain;

	private final UniformRandomProvider random;

	LeastCostPlacement(String failureDomain, UniformRandomProvider random) {
		this.failureDomain = failureDomain;
		this.random = random;
	}

	@Override
	public @Nullable PlacedUpstream choose(List<PlacedUpstream> upstreams, Predicate<PlacedUpstream> hasRoom,
			EngineDivision division, RequestFacts facts, long nowNanos) {
		SharedHomes homes = SharedHomes.of(upstreams, division, facts);
		PlacedUpstream best = null;
		double bestCost = Double.MAX_VALUE;
		double leastCost = Double.MAX_VALUE;
		for (PlacedUpstream candidate : upstreams) {
			double cost = cost(candidate, division, facts, homes, nowNanos);
			leastCost = Math.min(leastCost, cost);
			if (cost < bestCost && hasRoom.test(candidate)) {
				best = candidate;
				bestCost = cost;
			}
		}
		return (bestCost <= leastCost + TOKENS_OF_PATIENCE * urgency(facts)) ? best : null;
	}

	private double cost(PlacedUpstream candidate, EngineDivision division, RequestFacts facts, SharedHomes homes,
			long nowNanos) {
		double work = (facts.promptTokens() > 0) ? engineWork(candidate, division, facts, homes) : plainWork(candidate);
		return work * candidate.slowness().factor(nowNanos) + distrust(candidate, nowNanos)
				+ this.random.nextDouble() * TOKENS_OF_CHANCE;
	}

	private double engineWork(PlacedUpstream upstream, EngineDivision division, RequestFacts facts, SharedHomes homes) {
		double uncached = Math.min(upstream.uncachedTokens(facts.terms().prompt()),
				facts.promptTokens() - homes.cachedTokens(upstream));
		double work = uncached + upstream.unreadBefore(facts) * UNSEEN_FACTOR * urgency(facts)
				+ upstream.inFlight() * TOKENS_PER_RUNNING;
		work += misfit(upstream, division, facts);
		return EngineDivision.isLong(facts) ? work : work + crossing(upstream);
	}

	private static double urgency(RequestFacts facts) {
		Duration objective = facts.terms().objective();
		return (objective != null) ? Math.min(1, URGENT_NANOS / objective.toNanos()) : 1;
	}

	private static double misfit(PlacedUpstream upstream, EngineDivision division, RequestFacts facts) {
		boolean needsQuiet = EngineDivision.needsQuiet(facts);
		if (needsQuiet == division.isQuiet(upstream)) {
			return 0;
		}
		if (needsQuiet) {
			return TOKENS_OF_EXPOSURE;
		}
		return EngineDivision.isLong(facts) ? TOKENS_OF_INTRUSION : TOKENS_OF_DISTURBANCE;
	}

	private double plainWork(PlacedUpstream upstream) {
		return (upstream.inFlight() + 1) * PlacementTicket.PLAIN_WORK + crossing(upstream);
	}

	private double crossing(PlacedUpstream upstream) {
		return upstream.host().failureDomain().equals(this.failureDomain) ? 0 : TOKENS_PER_CROSSING;
	}

	private static double distrust(PlacedUpstream upstream, long nowNanos) {
		return upstream.trust().failureShare(nowNanos) * TOKENS_PER_FAILURE
				+ (upstream.isSilent(nowNanos) ? TOKENS_OF_SILENCE : 0);
	}

}
