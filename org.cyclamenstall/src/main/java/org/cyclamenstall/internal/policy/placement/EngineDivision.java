package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.cyclamenstall.policy.RequestFacts;

/**
 * Sets part of the engines of a service aside for streams whose events must not pause.
 * Answers the load pattern of long prompts that come in bursts: while an engine reads
 * them, the events of every other request there come late. All daemons divide alike
 * without a message, because the order follows from the names alone. Immutable.
 */
final class EngineDivision {

	/** The prompt from which a request counts as long, in tokens. */
	private static final int LONG_PROMPT_TOKENS = 4_096;

	/** The pause objective up to which a stream needs a quiet engine. */
	private static final Duration LONGEST_QUIET_PAUSE = Duration.ofMillis(350);

	private final Set<String> quietEngines = new HashSet<>();

	/**
	 * Divides engines.
	 * @param live the engines that take work
	 * @param quiet how many of them are kept quiet
	 */
	EngineDivision(List<PlacedUpstream> live, int quiet) {
		live.stream()
			.map((upstream) -> upstream.host().host())
			.sorted(Comparator.comparingLong((String name) -> Rendezvous.score("division", name)))
			.limit(quiet)
			.forEach(this.quietEngines::add);
	}

	int quietCount() {
		return this.quietEngines.size();
	}

	/**
	 * Returns whether an engine is kept free of long prompts.
	 * @param upstream the engine
	 * @return {@code true} if it is for streams that need quiet
	 */
	boolean isQuiet(PlacedUpstream upstream) {
		return this.quietEngines.contains(upstream.host().host());
	}

	/**
	 * Returns whether a request belongs on the quiet engines.
	 * @param facts the request
	 * @return {@code true} for a short prompt whose events must not pause
	 */
	static boolean needsQuiet(RequestFacts facts) {
		Duration pause = facts.terms().pauseObjective();
		return pause != null && pause.compareTo(LONGEST_QUIET_PAUSE) <= 0 && !isLong(facts);
	}

	static boolean isLong(RequestFacts facts) {
		return facts.promptTokens() >= LONG_PROMPT_TOKENS;
	}

}
