package org.cyclamenstall.internal.policy;

import java.util.HashMap;
import java.util.Map;

import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.internal.policy.upstream.MovingAverage;
import org.cyclamenstall.policy.RequestAttributes;

/**
 * Estimates the number of generated tokens of a request from the average of finished
 * requests of the same catalogue entry. Not thread-safe: guarded by the controller's
 * lock.
 */
final class OutputTokenEstimator {

	private static final double SAMPLE_WEIGHT = 0.05;

	private static final double INITIAL_TOKENS = 256;

	private final Map<String, MovingAverage> averages = new HashMap<>();

	double expectedTokens(RequestAttributes attributes) {
		if (attributes.entry().kind() != EntryKind.MODEL) {
			return 0;
		}
		MovingAverage average = this.averages.get(keyOf(attributes));
		double expected = (average != null) ? average.valueOr(INITIAL_TOKENS) : INITIAL_TOKENS;
		return (attributes.maximumOutputTokens() > 0) ? Math.min(expected, attributes.maximumOutputTokens()) : expected;
	}

	void addSample(RequestAttributes attributes, long generatedTokens) {
		if (attributes.entry().kind() == EntryKind.MODEL) {
			this.averages.computeIfAbsent(keyOf(attributes), (key) -> new MovingAverage(SAMPLE_WEIGHT))
				.add(generatedTokens);
		}
	}

	private static String keyOf(RequestAttributes attributes) {
		return attributes.entry().name();
	}

}
