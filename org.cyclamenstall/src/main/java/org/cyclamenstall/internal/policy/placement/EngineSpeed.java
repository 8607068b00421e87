package org.cyclamenstall.internal.policy.placement;

import org.cyclamenstall.policy.PromptShape;

/**
 * Learns how fast the engines of a service are from the responses of lightly loaded ones:
 * the time to read a prompt token, and the time between two generated tokens of a stream.
 * Both follow fast samples quickly and slow ones slowly, because load only ever adds
 * time. Not thread-safe.
 */
final class EngineSpeed {

	private static final double INITIAL_NANOS_PER_PROMPT_TOKEN = 15_000;

	private static final double INITIAL_NANOS_PER_OUTPUT_TOKEN = 4e6;

	/** Minimum prompt length for which the fixed part of the latency is negligible. */
	private static final int MINIMUM_PROMPT_TOKENS = 2_000;

	private static final double FAST_SAMPLE_WEIGHT = 0.2;

	/** Growth of an estimate with each sample that is slower. */
	private static final double SLOW_SAMPLE_GROWTH = 1.003;

	private static final int DEFAULT_SLOTS = 32;

	private static final double DEFAULT_OUTPUT_TOKENS = 200;

	private double nanosPerPromptToken = INITIAL_NANOS_PER_PROMPT_TOKEN;

	private double nanosPerOutputToken = INITIAL_NANOS_PER_OUTPUT_TOKEN;

	/**
	 * Records the latency of a first event.
	 * @param latencyNanos the time from the request to its first event
	 * @param uncachedTokens the prompt tokens that the engine had to read
	 */
	void recordFirstEvent(double latencyNanos, double uncachedTokens) {
		if (uncachedTokens >= MINIMUM_PROMPT_TOKENS) {
			this.nanosPerPromptToken = follow(this.nanosPerPromptToken, latencyNanos / uncachedTokens);
		}
	}

	/**
	 * Records the gap between two events.
	 * @param gapNanos the gap
	 * @param tokensPerEvent the generated tokens in one event
	 */
	void recordGap(double gapNanos, int tokensPerEvent) {
		this.nanosPerOutputToken = follow(this.nanosPerOutputToken, gapNanos / Math.max(1, tokensPerEvent));
	}

	/**
	 * Estimates the share of an engine's time that a request takes.
	 * @param prompt the prompt and the expected output
	 * @param slots the number of requests that an engine runs concurrently, or zero if
	 * unknown
	 * @return the time in nanoseconds of an engine that serves nothing else
	 */
	double engineNanos(PromptShape prompt, int slots) {
		return engineNanos(prompt.promptTokens(), prompt.estimatedOutputTokens(), slots);
	}

	/**
	 * Estimates the share of an engine's time that a request takes.
	 * @param promptTokens the prompt tokens that the engine reads
	 * @param estimatedOutputTokens the expected output in tokens, or zero if unknown
	 * @param slots the number of requests that an engine runs concurrently, or zero if
	 * unknown
	 * @return the time in nanoseconds of an engine that serves nothing else
	 */
	double engineNanos(double promptTokens, int estimatedOutputTokens, int slots) {
		double outputTokens = (estimatedOutputTokens > 0) ? estimatedOutputTokens : DEFAULT_OUTPUT_TOKENS;
		return promptTokens * this.nanosPerPromptToken
				+ outputTokens * this.nanosPerOutputToken / ((slots > 0) ? slots : DEFAULT_SLOTS);
	}

	/**
	 * Returns how many prompt tokens an idle engine reads in a time.
	 * @param nanos the time
	 * @return the number of tokens
	 */
	double promptTokensIn(double nanos) {
		return nanos / this.nanosPerPromptToken;
	}

	private static double follow(double estimate, double sample) {
		return (sample < estimate) ? estimate + (sample - estimate) * FAST_SAMPLE_WEIGHT
				: Math.min(sample, estimate * SLOW_SAMPLE_GROWTH);
	}

}
