package org.cyclamenstall.internal.policy;

import java.util.HashMap;
import java.util.Map;

import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.internal.policy.upstream.MovingAverage;
import org.cyclamenstall.policy.RequestFacts;

/**
 * Learns the generated tokens of each entry's answers. Not thread-safe: the controller's
 * lock guards it.
 */
final class OutputEstimate {

	private static final double WEIGHT = 0.05;

	private static final double INITIAL_TOKENS = 256;

	private final Map<String, MovingAverage> averages = new HashMap<>();

	double expectedTokens(RequestFacts facts) {
		if (facts.entry().kind() != EntryKind.MODEL) {
			return 0;
		}
		MovingAverage average = this.averages.get(keyOf(facts));
		double expected = (average != null) ? average.valueOr(INITIAL_TOKENS) : INITIAL_TOKENS;
		return (facts.maximumTokens() > 0) ? Math.min(expected, facts.maximumTokens()) : expected;
	}

	void ended(RequestFacts facts, long generatedTokens) {
		if (facts.entry().kind() == EntryKind.MODEL) {
			this.averages.computeIfAbsent(keyOf(facts), (key) -> new MovingAverage(WEIGHT)).add(generatedTokens);
		}
	}

	private static String keyOf(RequestFacts facts) {
		return facts.entry().name();
	}

}
