package org.cyclamenstall.internal.policy.placement;

import java.util.List;

import org.cyclamenstall.policy.PromptPart;
import org.cyclamenstall.policy.RequestAttributes;
import org.jspecify.annotations.Nullable;

/**
 * Selects the two engines that are expected to have the shared prompt prefix of a request
 * in their caches. Rendezvous hashing yields the same primary and secondary engine on all
 * daemons without coordination; reserved engines are considered for latency-sensitive
 * requests only, other engines for the rest. If the primary engine of a session is full
 * during a load peak, the prefix of the session is prefilled at one other engine rather
 * than at all of them. Immutable.
 */
final class PrefixAffinity {

	/** Expected cached share of the prefix at its primary engine. */
	private static final double PRIMARY_CACHED_SHARE = 0.8;

	/** Expected cached share of the prefix at its secondary engine. */
	private static final double SECONDARY_CACHED_SHARE = 0.4;

	private final @Nullable PlacementUpstream primary;

	private final @Nullable PlacementUpstream secondary;

	private final int sharedTokens;

	private PrefixAffinity(@Nullable PlacementUpstream primary, @Nullable PlacementUpstream secondary,
			int sharedTokens) {
		this.primary = primary;
		this.secondary = secondary;
		this.sharedTokens = sharedTokens;
	}

	/**
	 * Selects the preferred engines of a request.
	 * @param upstreams the candidates
	 * @param partition the partition into reserved and other engines
	 * @param attributes the request attributes
	 * @return the affinity, without engines if the request shares no prefix
	 */
	static PrefixAffinity of(List<PlacementUpstream> upstreams, EnginePartition partition,
			RequestAttributes attributes) {
		List<PromptPart> sharedParts = attributes.options().prompt().shareableParts();
		if (sharedParts.isEmpty()) {
			return new PrefixAffinity(null, null, 0);
		}
		String prefixId = sharedParts.get(sharedParts.size() - 1).id();
		PlacementUpstream primary = null;
		PlacementUpstream secondary = null;
		long primaryScore = Long.MIN_VALUE;
		long secondaryScore = Long.MIN_VALUE;
		for (PlacementUpstream candidate : upstreams) {
			if (partition.isReserved(candidate) != EnginePartition.isLatencySensitive(attributes)) {
				continue;
			}
			long score = Rendezvous.score(prefixId, candidate.host().host());
			if (primary == null || score > primaryScore) {
				secondary = primary;
				secondaryScore = primaryScore;
				primary = candidate;
				primaryScore = score;
			}
			else if (secondary == null || score > secondaryScore) {
				secondary = candidate;
				secondaryScore = score;
			}
		}
		return new PrefixAffinity(primary, secondary, sharedParts.stream().mapToInt(PromptPart::tokens).sum());
	}

	/**
	 * Returns how many prompt tokens an engine is expected to have cached due to prefix
	 * affinity.
	 * @param candidate the engine
	 * @return the number of tokens
	 */
	double cachedTokens(PlacementUpstream candidate) {
		if (candidate == this.primary) {
			return this.sharedTokens * PRIMARY_CACHED_SHARE;
		}
		return (candidate == this.secondary) ? this.sharedTokens * SECONDARY_CACHED_SHARE : 0;
	}

}
