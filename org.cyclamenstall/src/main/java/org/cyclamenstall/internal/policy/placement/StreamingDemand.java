package org.cyclamenstall.internal.policy.placement;

import org.cyclamenstall.policy.PromptShape;
import org.cyclamenstall.policy.RequestAttributes;

/**
 * Measures the share of latency-sensitive work of a service to determine how many engines
 * to reserve for it. A fixed number would be too small for one kind of request when load
 * peaks alternate between long prompts and many short streams within seconds. Each daemon
 * sees a sample of the same traffic, so all arrive at similar numbers without
 * communication. Not thread-safe.
 */
final class StreamingDemand {

	/** Work of generating one token, in prompt tokens. */
	private static final double PROMPT_TOKENS_PER_OUTPUT_TOKEN = 15;

	private static final double DEFAULT_OUTPUT_TOKENS = 200;

	private static final double HALF_LIFE_NANOS = 2e9;

	/**
	 * Latency-sensitive share assumed without traffic, with the weight
	 * {@link #PRIOR_TOKENS}.
	 */
	private static final double PRIOR_SHARE = 1.0 / 3;

	private static final double PRIOR_TOKENS = 60_000;

	/**
	 * Minimum share of engines to reserve, so that the next burst of streams finds
	 * capacity.
	 */
	private static final double MINIMUM_RESERVED_SHARE = 1.0 / 3;

	/**
	 * Minimum distance of the target from the current number of engines to change it.
	 */
	private static final double HYSTERESIS_ENGINES = 0.65;

	private double latencySensitiveWork;

	private double otherWork;

	private long updatedAtNanos;

	void recordRequest(RequestAttributes attributes, long nowNanos) {
		decay(nowNanos);
		double work = work(attributes.options().prompt());
		if (EnginePartition.isLatencySensitive(attributes)) {
			this.latencySensitiveWork += work;
		}
		else {
			this.otherWork += work;
		}
	}

	/**
	 * Returns how many engines to reserve.
	 * @param engines the number of engines that accept new requests
	 * @param current the number of engines reserved now
	 * @param nowNanos the time on the monotonic clock
	 * @return the number of engines to reserve
	 */
	int reservedEngines(int engines, int current, long nowNanos) {
		if (engines < 2) {
			return 0;
		}
		decay(nowNanos);
		double share = (this.latencySensitiveWork + PRIOR_TOKENS * PRIOR_SHARE)
				/ (this.latencySensitiveWork + this.otherWork + PRIOR_TOKENS);
		double minimum = Math.max(1, Math.round(engines * MINIMUM_RESERVED_SHARE));
		double target = Math.max(minimum, Math.min(engines - 1, share * engines));
		boolean keepsCurrent = current >= minimum && current < engines
				&& Math.abs(target - current) < HYSTERESIS_ENGINES;
		return keepsCurrent ? current : (int) Math.round(target);
	}

	private void decay(long nowNanos) {
		double decayFactor = Math.pow(0.5, (nowNanos - this.updatedAtNanos) / HALF_LIFE_NANOS);
		this.latencySensitiveWork *= decayFactor;
		this.otherWork *= decayFactor;
		this.updatedAtNanos = nowNanos;
	}

	private static double work(PromptShape prompt) {
		double outputTokens = (prompt.estimatedOutputTokens() > 0) ? prompt.estimatedOutputTokens()
				: DEFAULT_OUTPUT_TOKENS;
		return prompt.promptTokens() + outputTokens * PROMPT_TOKENS_PER_OUTPUT_TOKEN;
	}

}
