package org.cyclamenstall.standin.load;

import java.util.List;

import org.cyclamenstall.catalogue.Limits;
import org.jspecify.annotations.Nullable;

/**
 * Summarizes the requests of one account and compares them with its limits. Immutable.
 *
 * @param name the name of the account
 * @param sent the number of requests
 * @param admitted the number of requests that were not refused
 * @param attained the number of requests with a complete response whose first token met
 * the latency target
 * @param busiestTenSeconds the largest number of requests admitted in any ten seconds, by
 * intended send time
 * @param limitOfTenSeconds the number of requests that the request rate limit allows in
 * ten seconds; {@code null} if the account has no request rate limit
 */
record AccountReport(String name, long sent, long admitted, long attained, long busiestTenSeconds,
		@Nullable Double limitOfTenSeconds) {

	private static final long WINDOW_NANOS = 10_000_000_000L;

	private static final int WINDOW_SECONDS = 10;

	static AccountReport of(String name, @Nullable Limits limits, List<RequestResult> results) {
		long[] arrivalNanos = results.stream()
			.filter((result) -> result.outcome() != RequestOutcome.REFUSED)
			.mapToLong((result) -> result.arrival().atNanos())
			.sorted()
			.toArray();
		Double requestsPerSecond = (limits != null) ? limits.requestsPerSecond() : null;
		return new AccountReport(name, results.size(), arrivalNanos.length,
				results.stream().filter(RequestResult::meetsTarget).count(), maximumInWindow(arrivalNanos),
				(requestsPerSecond != null) ? requestsPerSecond * WINDOW_SECONDS : null);
	}

	private static long maximumInWindow(long[] arrivalNanos) {
		int first = 0;
		int maximum = 0;
		for (int last = 0; last < arrivalNanos.length; last++) {
			while (arrivalNanos[last] - arrivalNanos[first] >= WINDOW_NANOS) {
				first++;
			}
			maximum = Math.max(maximum, last - first + 1);
		}
		return maximum;
	}

}
