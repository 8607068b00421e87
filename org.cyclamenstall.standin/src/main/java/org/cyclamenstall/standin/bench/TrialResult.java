package org.cyclamenstall.standin.bench;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.cyclamenstall.catalogue.Tier;

/**
 * Collects the measurements of one trial. Not thread-safe.
 */
final class TrialResult {

	private static final long HIGHEST_TRACKABLE_MICROS = 3_600_000_000L;

	private final Map<Tier, Histogram> firstTokenMicros = new EnumMap<>(Tier.class);

	private final Map<Tier, int[]> counts = new EnumMap<>(Tier.class);

	private int interactiveArrivalsInBursts;

	private int interactiveTargetsMetInBursts;

	private long goodputTokens;

	private long attempts;

	private long hedges;

	private long preemptions;

	private long longestWaitNanos;

	TrialResult() {
		for (Tier tier : Tier.values()) {
			this.firstTokenMicros.put(tier, new Histogram(HIGHEST_TRACKABLE_MICROS, 3));
			this.counts.put(tier, new int[RequestCounter.values().length]);
		}
	}

	void increment(Tier tier, RequestCounter counter) {
		this.counts.get(tier)[counter.ordinal()]++;
	}

	int get(Tier tier, RequestCounter counter) {
		return this.counts.get(tier)[counter.ordinal()];
	}

	void recordFirstToken(Tier tier, long nanos, boolean duringBurst, long targetNanos) {
		this.firstTokenMicros.get(tier).recordValue(nanos / 1_000);
		if (nanos <= targetNanos) {
			increment(tier, RequestCounter.MET);
		}
		if (tier == Tier.INTERACTIVE && duringBurst && nanos <= targetNanos) {
			this.interactiveTargetsMetInBursts++;
		}
	}

	void recordArrival(Tier tier, boolean duringBurst) {
		increment(tier, RequestCounter.ARRIVED);
		if (tier == Tier.INTERACTIVE && duringBurst) {
			this.interactiveArrivalsInBursts++;
		}
	}

	void recordAttempt() {
		this.attempts++;
	}

	void recordHedge() {
		this.hedges++;
	}

	void recordPreemption() {
		this.preemptions++;
	}

	void recordWait(long nanos) {
		this.longestWaitNanos = Math.max(this.longestWaitNanos, nanos);
	}

	void recordCompletion(Tier tier, long tokens) {
		increment(tier, RequestCounter.COMPLETED);
		this.goodputTokens += tokens;
	}

	String formatLine(String scenario, String policy, long seed, long generatedTokens, int seconds) {
		StringBuilder line = new StringBuilder();
		line.append(String.format(Locale.ROOT, "%-12s %-9s seed=%d", scenario, policy, seed));
		for (Tier tier : Tier.values()) {
			Histogram histogram = this.firstTokenMicros.get(tier);
			line.append(String.format(Locale.ROOT, " | %s n=%d met=%.2f%% p50=%.3f p99=%.3f refused=%d",
					tier.label().substring(0, 3), get(tier, RequestCounter.ARRIVED), percentMet(tier),
					percentileSeconds(histogram, 50), percentileSeconds(histogram, 99),
					get(tier, RequestCounter.REFUSED)));
		}
		long requests = 0;
		long unfinished = 0;
		for (Tier tier : Tier.values()) {
			requests += get(tier, RequestCounter.ARRIVED);
			unfinished += get(tier, RequestCounter.ARRIVED) - get(tier, RequestCounter.COMPLETED)
					- get(tier, RequestCounter.REFUSED);
		}
		line.append(String.format(Locale.ROOT,
				" | crest=%.2f%% good=%.0f/s wasted=%.2f%% attempts=%.3f hedges=%d preempted=%d wait=%.1fs unfinished=%d",
				100.0 * this.interactiveTargetsMetInBursts / Math.max(1, this.interactiveArrivalsInBursts),
				(double) this.goodputTokens / seconds,
				100.0 * (generatedTokens - this.goodputTokens) / Math.max(1, generatedTokens),
				(double) (this.attempts - this.preemptions) / Math.max(1, requests), this.hedges, this.preemptions,
				this.longestWaitNanos / 1e9, unfinished));
		return line.toString();
	}

	private double percentMet(Tier tier) {
		return 100.0 * get(tier, RequestCounter.MET) / Math.max(1, get(tier, RequestCounter.ARRIVED));
	}

	private static double percentileSeconds(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / 1e6;
	}

	/**
	 * Request counters kept for each tier.
	 */
	enum RequestCounter {

		/** Requests that arrived. */
		ARRIVED,

		/** Requests whose first token was generated within the target time. */
		MET,

		/** Requests that received a complete response. */
		COMPLETED,

		/** Requests that were refused. */
		REFUSED

	}

}
