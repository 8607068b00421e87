package org.cyclamenstall.internal.policy.placement;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.policy.PromptPart;
import org.cyclamenstall.policy.RequestFacts;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the upstream where a request is expected to cost least, counted in prompt
 * tokens to read: those of earlier requests, its own that are not cached there, and what
 * running requests, distance and distrust add. Prompts that share their beginning have a
 * home that all daemons of a failure domain agree on without a message. Answers the load
 * patterns of mixed long and short prompts and of sessions that come back. Not
 * thread-safe.
 */
final class LeastCostPlacement implements Placement {

	/** What one running request of an engine costs the next one. */
	private static final double TOKENS_PER_RUNNING = 60;

	/** What one unfinished request of a plain service costs the next one. */
	private static final double TOKENS_PER_PLAIN_REQUEST = 4_000;

	/** The expected part of a shared beginning that is cached at its home. */
	private static final double HOME_CACHED = 0.5;

	/** What it costs to leave the failure domain. */
	private static final double TOKENS_PER_CROSSING = 4_000;

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
	public @Nullable PlacedUpstream choose(List<PlacedUpstream> upstreams, RequestFacts facts, long nowNanos) {
		PlacedUpstream home = home(upstreams, facts);
		PlacedUpstream best = null;
		double bestCost = Double.MAX_VALUE;
		for (PlacedUpstream candidate : upstreams) {
			double cost = cost(candidate, facts, candidate == home, nowNanos)
					+ this.random.nextDouble() * TOKENS_OF_CHANCE;
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
		return best;
	}

	private double cost(PlacedUpstream upstream, RequestFacts facts, boolean home, long nowNanos) {
		double work = (facts.promptTokens() > 0) ? engineWork(upstream, facts, home) : plainWork(upstream);
		double cost = work * upstream.slowness().factor(nowNanos);
		cost += isNear(upstream) ? 0 : TOKENS_PER_CROSSING;
		cost += upstream.trust().failureShare(nowNanos) * TOKENS_PER_FAILURE;
		cost += upstream.isSilent(nowNanos) ? TOKENS_OF_SILENCE : 0;
		return cost;
	}

	private static double engineWork(PlacedUpstream upstream, RequestFacts facts, boolean home) {
		double uncached = upstream.uncachedTokens(facts.terms().prompt());
		if (home) {
			int shared = sharedTokens(facts.terms().prompt().sharedParts());
			uncached = Math.min(uncached, facts.promptTokens() - shared * HOME_CACHED);
		}
		return upstream.unreadTokens() + uncached + upstream.inFlight() * TOKENS_PER_RUNNING;
	}

	private static double plainWork(PlacedUpstream upstream) {
		return (upstream.inFlight() + 1) * TOKENS_PER_PLAIN_REQUEST;
	}

	// Finds the home of a shared beginning by rendezvous hashing, in this failure domain
	// if it has upstreams.
	private @Nullable PlacedUpstream home(List<PlacedUpstream> upstreams, RequestFacts facts) {
		List<PromptPart> shared = facts.terms().prompt().sharedParts();
		if (shared.isEmpty()) {
			return null;
		}
		String part = shared.get(shared.size() - 1).id();
		PlacedUpstream home = null;
		long best = Long.MIN_VALUE;
		boolean homeIsNear = false;
		for (PlacedUpstream candidate : upstreams) {
			boolean near = isNear(candidate);
			long score = score(part, candidate);
			if ((near && !homeIsNear) || (near == homeIsNear && score > best)) {
				home = candidate;
				best = score;
				homeIsNear = near;
			}
		}
		return home;
	}

	private boolean isNear(PlacedUpstream upstream) {
		return upstream.host().failureDomain().equals(this.failureDomain);
	}

	private static long score(String part, PlacedUpstream upstream) {
		byte[] bytes = (part + '/' + upstream.host().host()).getBytes(StandardCharsets.UTF_8);
		return MurmurHash3.hash128x64(bytes)[0];
	}

	private static int sharedTokens(List<PromptPart> shared) {
		return shared.stream().mapToInt(PromptPart::tokens).sum();
	}

}
