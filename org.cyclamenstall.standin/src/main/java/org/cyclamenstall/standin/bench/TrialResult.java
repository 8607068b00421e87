package org.cyclamenstall.standin.bench;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.cyclamenstall.catalogue.Tier;

/**
 * Gathers the measures of one trial. Not thread-safe.
 */
final class TrialResult {

	private static final long LARGEST_MICROS = 3_600_000_000L;

	private final Map<Tier, Histogram> firstTokens = new EnumMap<>(Tier.class);

	private final Map<Tier, int[]> counts = new EnumMap<>(Tier.class);

	private int crestInteractive;

	private int crestInteractiveMet;

	private long goodTokens;

	private long attempts;

	private long hedges;

	private long preemptions;

	private long longestWaitNanos;

	TrialResult() {
		for (Tier tier : Tier.values()) {
			this.firstTokens.put(tier, new Histogram(LARGEST_MICROS, 3));
			this.counts.put(tier, new int[Column.values().length]);
		}
	}

	void count(Tier tier, Column column) {
		this.counts.get(tier)[column.ordinal()]++;
	}

	int get(Tier tier, Column column) {
		return this.counts.get(tier)[column.ordinal()];
	}

	void firstToken(Tier tier, long nanos, boolean crest, long targetNanos) {
		this.firstTokens.get(tier).recordValue(nanos / 1_000);
		if (nanos <= targetNanos) {
			count(tier, Column.MET);
		}
		if (tier == Tier.INTERACTIVE && crest && nanos <= targetNanos) {
			this.crestInteractiveMet++;
		}
	}

	void arrived(Tier tier, boolean crest) {
		count(tier, Column.ARRIVED);
		if (tier == Tier.INTERACTIVE && crest) {
			this.crestInteractive++;
		}
	}

	void attempt() {
		this.attempts++;
	}

	void hedge() {
		this.hedges++;
	}

	void preemption() {
		this.preemptions++;
	}

	void waited(long nanos) {
		this.longestWaitNanos = Math.max(this.longestWaitNanos, nanos);
	}

	void completed(Tier tier, long tokens) {
		count(tier, Column.COMPLETED);
		this.goodTokens += tokens;
	}

	String line(String scenario, String policy, long seed, long generated, int seconds) {
		StringBuilder line = new StringBuilder();
		line.append(String.format(Locale.ROOT, "%-12s %-9s seed=%d", scenario, policy, seed));
		for (Tier tier : Tier.values()) {
			Histogram histogram = this.firstTokens.get(tier);
			line.append(String.format(Locale.ROOT, " | %s n=%d met=%.2f%% p50=%.3f p99=%.3f refused=%d",
					tier.label().substring(0, 3), get(tier, Column.ARRIVED), percent(tier), seconds(histogram, 50),
					seconds(histogram, 99), get(tier, Column.REFUSED)));
		}
		long requests = 0;
		long unfinished = 0;
		for (Tier tier : Tier.values()) {
			requests += get(tier, Column.ARRIVED);
			unfinished += get(tier, Column.ARRIVED) - get(tier, Column.COMPLETED) - get(tier, Column.REFUSED);
		}
		line.append(String.format(Locale.ROOT,
				" | crest=%.2f%% good=%.0f/s wasted=%.2f%% attempts=%.3f hedges=%d preempted=%d wait=%.1fs unfinished=%d",
				100.0 * this.crestInteractiveMet / Math.max(1, this.crestInteractive),
				(double) this.goodTokens / seconds, 100.0 * (generated - this.goodTokens) / Math.max(1, generated),
				(double) (this.attempts - this.preemptions) / Math.max(1, requests), this.hedges, this.preemptions,
				this.longestWaitNanos / 1e9, unfinished));
		return line.toString();
	}

	private double percent(Tier tier) {
		return 100.0 * get(tier, Column.MET) / Math.max(1, get(tier, Column.ARRIVED));
	}

	private static double seconds(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / 1e6;
	}

	/**
	 * Names the counts by tier.
	 */
	enum Column {

		/** Requests that arrived. */
		ARRIVED,

		/** Requests whose first token met its target. */
		MET,

		/** Requests that were answered whole. */
		COMPLETED,

		/** Requests that were refused. */
		REFUSED

	}

}
