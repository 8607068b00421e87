package org.cyclamenstall.standin.load;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;

/**
 * Sums up the requests of one class. Immutable.
 *
 * @param name the class
 * @param all all requests
 * @param window those sent while a crest or a fault lasted
 * @param outside the others
 * @param tokenGap the pauses between two tokens
 * @param ends the number of requests by their end and error kind
 */
record ClassReport(String name, Part all, Part window, Part outside, Latencies tokenGap, Map<String, Long> ends) {

	static ClassReport of(String name, List<RequestResult> results, Predicate<Arrival> inWindow) {
		Map<String, Long> ends = new TreeMap<>();
		Histogram gaps = Latencies.newHistogram();
		for (RequestResult result : results) {
			String kind = result.errorKind().isEmpty() ? "" : " " + result.errorKind();
			ends.merge(result.end().name().toLowerCase(Locale.ROOT) + kind, 1L, Long::sum);
			recordGaps(gaps, result.tokenNanos());
		}
		return new ClassReport(name, Part.of(results),
				Part.of(results.stream().filter((result) -> inWindow.test(result.arrival())).toList()),
				Part.of(results.stream().filter((result) -> !inWindow.test(result.arrival())).toList()),
				Latencies.of(gaps), ends);
	}

	private static void recordGaps(Histogram gaps, long[] tokenNanos) {
		for (int at = 1; at < tokenNanos.length; at++) {
			Latencies.record(gaps, tokenNanos[at] - tokenNanos[at - 1]);
		}
	}

	/**
	 * Sums up some requests. Immutable.
	 *
	 * @param sent the number of requests
	 * @param whole those with a whole answer
	 * @param attained those with a whole answer whose first token met the target
	 * @param attainment the share of those attained in those sent; {@code null} if none
	 * was
	 * @param firstToken the time of the first token since the intended time of sending
	 * @param longestWait the longest time without a first token or an end, in
	 * milliseconds
	 */
	record Part(long sent, long whole, long attained, @Nullable Double attainment, Latencies firstToken,
			double longestWait) {

		private static final double NANOS_PER_MILLI = 1e6;

		static Part of(List<RequestResult> results) {
			Histogram first = Latencies.newHistogram();
			long whole = 0;
			long attained = 0;
			long longest = 0;
			for (RequestResult result : results) {
				whole += result.isWhole() ? 1 : 0;
				attained += result.isAttained() ? 1 : 0;
				longest = Math.max(longest, (result.firstNanos() >= 0) ? result.firstNanos() : result.endNanos());
				if (result.firstNanos() >= 0) {
					Latencies.record(first, result.firstNanos());
				}
			}
			Double attainment = results.isEmpty() ? null : Double.valueOf((double) attained / results.size());
			return new Part(results.size(), whole, attained, attainment, Latencies.of(first),
					longest / NANOS_PER_MILLI);
		}

	}

}
