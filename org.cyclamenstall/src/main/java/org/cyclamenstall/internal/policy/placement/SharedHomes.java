package org.cyclamenstall.internal.policy.placement;

import java.util.List;

import org.cyclamenstall.policy.PromptPart;
import org.cyclamenstall.policy.RequestFacts;
import org.jspecify.annotations.Nullable;

/**
 * Names the two engines where the shared beginning of a prompt is expected to be cached:
 * the first by rendezvous hashing among those that are meant for the request, and the
 * second for what does not fit there. All daemons name the same ones without a message.
 * Answers the load pattern of sessions whose home is full in a crest: what is turned away
 * there is read at one other engine and not at all of them. Immutable.
 */
final class SharedHomes {

	/** The part of a shared beginning that is expected to be cached at its first home. */
	private static final double FIRST_CACHED = 0.8;

	/** The same at its second home. */
	private static final double SECOND_CACHED = 0.4;

	private final @Nullable PlacedUpstream first;

	private final @Nullable PlacedUpstream second;

	private final int sharedTokens;

	private SharedHomes(@Nullable PlacedUpstream first, @Nullable PlacedUpstream second, int sharedTokens) {
		this.first = first;
		this.second = second;
		this.sharedTokens = sharedTokens;
	}

	/**
	 * Finds the homes of a request.
	 * @param upstreams the engines that may be chosen
	 * @param division which of them are quiet
	 * @param facts the request
	 * @return the homes, none if the request shares nothing
	 */
	static SharedHomes of(List<PlacedUpstream> upstreams, EngineDivision division, RequestFacts facts) {
		List<PromptPart> shared = facts.terms().prompt().sharedParts();
		if (shared.isEmpty()) {
			return new SharedHomes(null, null, 0);
		}
		String part = shared.get(shared.size() - 1).id();
		PlacedUpstream first = null;
		PlacedUpstream second = null;
		long best = Long.MIN_VALUE;
		long next = Long.MIN_VALUE;
		for (PlacedUpstream candidate : upstreams) {
			if (division.isQuiet(candidate) != EngineDivision.needsQuiet(facts)) {
				continue;
			}
			long score = Rendezvous.score(part, candidate.host().host());
			if (first == null || score > best) {
				second = first;
				next = best;
				first = candidate;
				best = score;
			}
			else if (second == null || score > next) {
				second = candidate;
				next = score;
			}
		}
		return new SharedHomes(first, second, shared.stream().mapToInt(PromptPart::tokens).sum());
	}

	/**
	 * Returns how many tokens of a prompt an engine is expected to hold because it is a
	 * home.
	 * @param candidate the engine
	 * @return the tokens
	 */
	double cachedTokens(PlacedUpstream candidate) {
		if (candidate == this.first) {
			return this.sharedTokens * FIRST_CACHED;
		}
		return (candidate == this.second) ? this.sharedTokens * SECOND_CACHED : 0;
	}

}
