package org.cyclamenstall.standin.load;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * Formats request results as comma-separated values, one line per request. Times are in
 * milliseconds.
 */
final class RequestTrace {

	private static final String HEADER = "sequence,at,class,account,tokens,end,kind,sent,first,last";

	private static final double NANOS_PER_MILLI = 1e6;

	private RequestTrace() {
	}

	static List<String> lines(List<RequestResult> results) {
		Stream<String> lines = results.stream()
			.sorted(Comparator.comparingInt((result) -> result.arrival().sequence()))
			.map(RequestTrace::toLine);
		return Stream.concat(Stream.of(HEADER), lines).toList();
	}

	private static String toLine(RequestResult result) {
		Arrival arrival = result.arrival();
		return String.format(Locale.ROOT, "%d,%.1f,%s,%s,%d,%s,%s,%.1f,%.1f,%.1f", arrival.sequence(),
				arrival.atNanos() / NANOS_PER_MILLI, arrival.requestClass().name(), arrival.account(), arrival.tokens(),
				result.outcome(), result.errorKind(), result.sentNanos() / NANOS_PER_MILLI,
				result.firstNanos() / NANOS_PER_MILLI, result.endNanos() / NANOS_PER_MILLI);
	}

}
