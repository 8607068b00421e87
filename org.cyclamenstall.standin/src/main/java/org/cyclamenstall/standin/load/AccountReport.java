package org.cyclamenstall.standin.load;

import java.util.List;

import org.cyclamenstall.catalogue.Limits;
import org.jspecify.annotations.Nullable;

/**
 * Sums up the requests of one account against its limits. Immutable.
 *
 * @param name the account
 * @param sent the number of requests
 * @param admitted those that were not refused
 * @param attained those with a whole answer whose first token met the target
 * @param busiestTenSeconds the most requests admitted in any ten seconds, by the intended
 * time of sending
 * @param limitOfTenSeconds what its limit of requests allows in ten seconds
 */
record AccountReport(String name, long sent, long admitted, long attained, long busiestTenSeconds,
		@Nullable Double limitOfTenSeconds) {

	private static final long SPAN_NANOS = 10_000_000_000L;

	private static final int SPAN_SECONDS = 10;

	static AccountReport of(String name, @Nullable Limits limits, List<RequestResult> results) {
		long[] times = results.stream()
			.filter((result) -> result.end() != RequestEnd.REFUSED)
			.mapToLong((result) -> result.arrival().atNanos())
			.sorted()
			.toArray();
		Double perSecond = (limits != null) ? limits.requestsPerSecond() : null;
		return new AccountReport(name, results.size(), times.length,
				results.stream().filter(RequestResult::isAttained).count(), busiest(times),
				(perSecond != null) ? perSecond * SPAN_SECONDS : null);
	}

	private static long busiest(long[] times) {
		int from = 0;
		int busiest = 0;
		for (int until = 0; until < times.length; until++) {
			while (times[until] - times[from] >= SPAN_NANOS) {
				from++;
			}
			busiest = Math.max(busiest, until - from + 1);
		}
		return busiest;
	}

}
