package org.cyclamenstall.standin.load;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;

/**
 * Summarizes the requests of one class. Immutable.
 *
 * @param name the name of the class
 * @param all the summary of all requests
 * @param window the summary of the requests sent during a load peak or a fault
 * @param outside the summary of all other requests
 * @param tokenGap the intervals between consecutive tokens
 * @param ends the number of requests by outcome and error kind
 */
record ClassReport(String name, RequestSummary all, RequestSummary window, RequestSummary outside, Latencies tokenGap,
		Map<String, Long> ends) {

	static ClassReport of(String name, List<RequestResult> results, Predicate<Arrival> inWindow) {
		Map<String, Long> ends = new TreeMap<>();
		Histogram gaps = Latencies.newHistogram();
		for (RequestResult result : results) {
			String kind = result.errorKind().isEmpty() ? "" : " " + result.errorKind();
			ends.merge(result.outcome().name().toLowerCase(Locale.ROOT) + kind, 1L, Long::sum);
			recordGaps(gaps, result.tokenNanos());
		}
		return new ClassReport(name, RequestSummary.of(results),
				RequestSummary.of(results.stream().filter((result) -> inWindow.test(result.arrival())).toList()),
				RequestSummary.of(results.stream().filter((result) -> !inWindow.test(result.arrival())).toList()),
				Latencies.of(gaps), ends);
	}

	private static void recordGaps(Histogram gaps, long[] tokenNanos) {
		for (int index = 1; index < tokenNanos.length; index++) {
			Latencies.record(gaps, tokenNanos[index] - tokenNanos[index - 1]);
		}
	}

	/**
	 * Summarizes a set of requests. Immutable.
	 *
	 * @param sent the number of requests
	 * @param whole the number of requests with a complete response
	 * @param attained the number of requests with a complete response whose first token
	 * met the latency target
	 * @param attainment the ratio of attained to sent requests; {@code null} if none was
	 * sent
	 * @param firstToken the time from the intended send time to the first token
	 * @param longestWait the longest time until the first token, or until the end of a
	 * request without tokens, in milliseconds
	 */
	record RequestSummary(long sent, long whole, long attained, @Nullable Double attainment, Latencies firstToken,
			double longestWait) {

		private static final double NANOS_PER_MILLI = 1e6;

		static RequestSummary of(List<RequestResult> results) {
			Histogram firstTokens = Latencies.newHistogram();
			long complete = 0;
			long attained = 0;
			long longestNanos = 0;
			for (RequestResult result : results) {
				complete += result.isComplete() ? 1 : 0;
				attained += result.meetsTarget() ? 1 : 0;
				longestNanos = Math.max(longestNanos,
						(result.firstNanos() >= 0) ? result.firstNanos() : result.endNanos());
				if (result.firstNanos() >= 0) {
					Latencies.record(firstTokens, result.firstNanos());
				}
			}
			Double attainment = results.isEmpty() ? null : Double.valueOf((double) attained / results.size());
			return new RequestSummary(results.size(), complete, attained, attainment, Latencies.of(firstTokens),
					longestNanos / NANOS_PER_MILLI);
		}

	}

}
