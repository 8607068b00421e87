package org.cyclamenstall.standin.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.HdrHistogram.Histogram;

/**
 * The quantiles of a set of durations, in milliseconds. Immutable.
 *
 * @param count the number of values
 * @param p50 the median
 * @param p99 the 99th percentile
 * @param p999 the 99.9th percentile
 * @param maximum the largest value
 */
record Latencies(long count, double p50, double p99, @JsonProperty("p99.9") double p999, double maximum) {

	private static final long HIGHEST_TRACKABLE_MICROS = 1_000_000_000L;

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final long NANOS_PER_MICRO = 1_000;

	private static final double MICROS_PER_MILLI = 1_000;

	static Histogram newHistogram() {
		return new Histogram(HIGHEST_TRACKABLE_MICROS, SIGNIFICANT_DIGITS);
	}

	static void record(Histogram histogram, long nanos) {
		histogram.recordValue(Math.min(HIGHEST_TRACKABLE_MICROS, Math.max(0, nanos / NANOS_PER_MICRO)));
	}

	static Latencies of(Histogram histogram) {
		return new Latencies(histogram.getTotalCount(), millis(histogram.getValueAtPercentile(50)),
				millis(histogram.getValueAtPercentile(99)), millis(histogram.getValueAtPercentile(99.9)),
				millis(histogram.getMaxValue()));
	}

	private static double millis(long micros) {
		return micros / MICROS_PER_MILLI;
	}

}
