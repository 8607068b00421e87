package org.cyclamenstall.internal.policy.placement;

import org.cyclamenstall.policy.PromptShape;
import org.cyclamenstall.policy.RequestAttributes;

/**
 * Computes how many engines of a service to reserve for latency-sensitive streams, in
 * proportion to their share of the recent work. Work is counted in prompt tokens; a
 * generated token counts as {@link #PROMPT_TOKENS_PER_OUTPUT_TOKEN} prompt tokens. A
 * fixed number of engines would be too small for one kind of request when load peaks
 * alternate between long prompts and many short streams within seconds. Each daemon sees
 * a sample of the same traffic, so all reserve similar numbers without coordination. Not
 * thread-safe.
 */
final class ReservedEngineCalculator {

	/** Work of generating one token, in prompt tokens. */
	private static final double PROMPT_TOKENS_PER_OUTPUT_TOKEN = 15;

	private static final double DEFAULT_OUTPUT_TOKENS = 200;

	private static final double HALF_LIFE_NANOS = 2e9;

	/** Assumed latency-sensitive share of work in the absence of traffic. */
	private static final double PRIOR_SHARE = 1.0 / 3;

	/** Amount of recent work that has the same weight as {@link #PRIOR_SHARE}. */
	private static final double PRIOR_TOKENS = 60_000;

	/**
	 * Minimum share of engines to reserve, so that the next burst of streams finds
	 * capacity.
	 */
	private static final double MINIMUM_RESERVED_SHARE = 1.0 / 3;

	/**
	 * Minimum difference between the target and the current number of reserved engines at
	 * which the number changes.
	 */
	private static final double HYSTERESIS_ENGINES = 0.65;

	private double latencySensitiveTokens;

	private double otherTokens;

	private long updatedAtNanos;

	void recordRequest(RequestAttributes attributes, long nowNanos) {
		decay(nowNanos);
		double work = work(attributes.options().prompt());
		if (EnginePartition.isLatencySensitive(attributes)) {
			this.latencySensitiveTokens += work;
		}
		else {
			this.otherTokens += work;
		}
	}

	/**
	 * Returns how many engines to reserve.
	 * @param engineCount the number of engines that accept new requests
	 * @param currentCount the number of engines reserved now
	 * @param nowNanos the time on the monotonic clock
	 * @return the number of engines to reserve
	 */
	int reservedEngineCount(int engineCount, int currentCount, long nowNanos) {
		if (engineCount < 2) {
			return 0;
		}
		decay(nowNanos);
		double share = (this.latencySensitiveTokens + PRIOR_TOKENS * PRIOR_SHARE)
				/ (this.latencySensitiveTokens + this.otherTokens + PRIOR_TOKENS);
		double minimum = Math.max(1, Math.round(engineCount * MINIMUM_RESERVED_SHARE));
		double target = Math.max(minimum, Math.min(engineCount - 1, share * engineCount));
		boolean keepCurrent = currentCount >= minimum && currentCount < engineCount
				&& Math.abs(target - currentCount) < HYSTERESIS_ENGINES;
		return keepCurrent ? currentCount : (int) Math.round(target);
	}

	private void decay(long nowNanos) {
		double decayFactor = Math.pow(0.5, (nowNanos - this.updatedAtNanos) / HALF_LIFE_NANOS);
		this.latencySensitiveTokens *= decayFactor;
		this.otherTokens *= decayFactor;
		this.updatedAtNanos = nowNanos;
	}

	private static double work(PromptShape prompt) {
		double outputTokens = (prompt.estimatedOutputTokens() > 0) ? prompt.estimatedOutputTokens()
				: DEFAULT_OUTPUT_TOKENS;
		return prompt.promptTokens() + outputTokens * PROMPT_TOKENS_PER_OUTPUT_TOKEN;
	}

}
