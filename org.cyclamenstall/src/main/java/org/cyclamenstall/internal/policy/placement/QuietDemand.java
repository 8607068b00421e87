package org.cyclamenstall.internal.policy.placement;

import org.cyclamenstall.policy.PromptShape;
import org.cyclamenstall.policy.RequestFacts;

/**
 * Measures which part of the work of a service needs quiet engines, and how many engines
 * that is. Answers the load pattern of crests that swing from long prompts to many short
 * streams and back within seconds: a fixed division is too small for one of them. Every
 * daemon sees a part of the same traffic and so moves the same boundary by itself. Not
 * thread-safe.
 */
final class QuietDemand {

	/** What a generated token costs an engine, in prompt tokens. */
	private static final double WORK_PER_OUTPUT_TOKEN = 15;

	private static final double DEFAULT_OUTPUT_TOKENS = 200;

	private static final double HALF_LIFE_NANOS = 2e9;

	/** The part that is assumed before traffic is seen, and how much it weighs. */
	private static final double USUAL_PART = 1.0 / 3;

	private static final double USUAL_WORK = 60_000;

	/**
	 * The part of the engines that is kept quiet at least, for the next crest of streams.
	 */
	private static final double LEAST_PART = 1.0 / 3;

	/** How far the measured number must be from the present one to change it. */
	private static final double HYSTERESIS = 0.65;

	private double quiet;

	private double other;

	private long atNanos;

	void requested(RequestFacts facts, long nowNanos) {
		decay(nowNanos);
		double work = work(facts.terms().prompt());
		if (EngineDivision.needsQuiet(facts)) {
			this.quiet += work;
		}
		else {
			this.other += work;
		}
	}

	/**
	 * Returns how many engines to keep quiet.
	 * @param engines the engines that take work
	 * @param present the number that is kept quiet now
	 * @param nowNanos the time on the monotonic clock
	 * @return the number
	 */
	int quietEngines(int engines, int present, long nowNanos) {
		if (engines < 2) {
			return 0;
		}
		decay(nowNanos);
		double part = (this.quiet + USUAL_WORK * USUAL_PART) / (this.quiet + this.other + USUAL_WORK);
		double least = Math.max(1, Math.round(engines * LEAST_PART));
		double wanted = Math.max(least, Math.min(engines - 1, part * engines));
		boolean keep = present >= least && present < engines && Math.abs(wanted - present) < HYSTERESIS;
		return keep ? present : (int) Math.round(wanted);
	}

	private void decay(long nowNanos) {
		double kept = Math.pow(0.5, (nowNanos - this.atNanos) / HALF_LIFE_NANOS);
		this.quiet *= kept;
		this.other *= kept;
		this.atNanos = nowNanos;
	}

	private static double work(PromptShape prompt) {
		double output = (prompt.likelyOutputTokens() > 0) ? prompt.likelyOutputTokens() : DEFAULT_OUTPUT_TOKENS;
		return prompt.promptTokens() + output * WORK_PER_OUTPUT_TOKEN;
	}

}
