package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.cyclamenstall.policy.RequestAttributes;

/**
 * Reserves some engines of a service for latency-sensitive streams. While an engine
 * prefills a burst of long prompts, the events of its other streams are delayed; reserved
 * engines are kept free of long prompts. The order of the engines depends only on their
 * host names, so all daemons compute the same partition without coordination. Immutable.
 */
final class EnginePartition {

	/** Minimum length of a long prompt, in tokens. */
	private static final int LONG_PROMPT_TOKENS = 4_096;

	/** Maximum event gap objective of a latency-sensitive stream. */
	private static final Duration MAXIMUM_LATENCY_SENSITIVE_GAP_OBJECTIVE = Duration.ofMillis(350);

	private final Set<String> reservedEngines = new HashSet<>();

	/**
	 * Partitions the engines.
	 * @param live the engines that accept new requests
	 * @param reservedCount the number of engines to reserve
	 */
	EnginePartition(List<PlacementUpstream> live, int reservedCount) {
		live.stream()
			.map((upstream) -> upstream.host().host())
			.sorted(Comparator.comparingLong((String name) -> Rendezvous.score("division", name)))
			.limit(reservedCount)
			.forEach(this.reservedEngines::add);
	}

	int reservedCount() {
		return this.reservedEngines.size();
	}

	/**
	 * Returns whether an engine is reserved for latency-sensitive streams.
	 * @param upstream the engine
	 * @return {@code true} if long prompts should be placed elsewhere
	 */
	boolean isReserved(PlacementUpstream upstream) {
		return this.reservedEngines.contains(upstream.host().host());
	}

	/**
	 * Returns whether a request should be placed on a reserved engine.
	 * @param attributes the request attributes
	 * @return {@code true} for a short prompt with a strict event gap objective
	 */
	static boolean isLatencySensitive(RequestAttributes attributes) {
		Duration gapObjective = attributes.options().eventGapObjective();
		return gapObjective != null && gapObjective.compareTo(MAXIMUM_LATENCY_SENSITIVE_GAP_OBJECTIVE) <= 0
				&& !isLongPrompt(attributes);
	}

	static boolean isLongPrompt(RequestAttributes attributes) {
		return attributes.promptTokens() >= LONG_PROMPT_TOKENS;
	}

}
