package org.cyclamenstall.internal.policy.placement;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.cyclamenstall.policy.RequestFacts;

/**
 * Divides the engines of a service between long and short prompts. Answers the load
 * pattern of long prompts that come in bursts: while an engine reads one, the events of
 * every other request there come late, so short requests keep to engines of their own.
 * All daemons divide alike without a message, because the order follows from the names
 * alone. Immutable.
 */
final class EngineDivision {

	/** The prompt from which a request counts as long, in tokens. */
	static final int LONG_PROMPT_TOKENS = 4_096;

	/** The part of the engines that long prompts use. */
	private static final double LONG_PART = 0.6;

	private final Set<String> longEngines = new HashSet<>();

	/**
	 * Divides engines.
	 * @param live the engines that take work
	 */
	EngineDivision(List<PlacedUpstream> live) {
		long count = Math.round(live.size() * LONG_PART);
		live.stream()
			.map((upstream) -> upstream.host().host())
			.sorted(Comparator.comparingLong((String name) -> Rendezvous.score("division", name)))
			.limit(Math.max(1, count))
			.forEach(this.longEngines::add);
	}

	/**
	 * Returns whether an engine is meant for a request.
	 * @param upstream the engine
	 * @param facts the request
	 * @return {@code true} if both are for long or both are for short prompts
	 */
	boolean fits(PlacedUpstream upstream, RequestFacts facts) {
		return isLong(facts) == this.longEngines.contains(upstream.host().host());
	}

	static boolean isLong(RequestFacts facts) {
		return facts.promptTokens() >= LONG_PROMPT_TOKENS;
	}

}
