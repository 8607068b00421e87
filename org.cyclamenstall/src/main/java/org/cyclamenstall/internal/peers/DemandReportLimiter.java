package org.cyclamenstall.internal.peers;

import java.util.Comparator;
import java.util.Map;
import java.util.stream.Collectors;

import org.cyclamenstall.policy.DemandReport;

/**
 * Limits the size of a demand report by dropping the smallest values, so that the size of
 * a peer message does not grow with the number of accounts and upstreams. Immutable and
 * thread-safe.
 */
public final class DemandReportLimiter {

	private final int maximumEntries;

	/**
	 * Creates a limiter.
	 * @param maximumEntries the maximum number of limits, and of upstreams, in a report
	 */
	public DemandReportLimiter(int maximumEntries) {
		this.maximumEntries = maximumEntries;
	}

	/**
	 * Drops the smallest values of a report that has more than the maximum number of
	 * entries.
	 * @param report the report
	 * @return the limited report; equal to the given one if it has few enough entries
	 */
	public DemandReport apply(DemandReport report) {
		return new DemandReport(largest(report.demandByLimit()), largest(report.inFlightByUpstream()));
	}

	private <V extends Comparable<V>> Map<String, V> largest(Map<String, V> values) {
		if (values.size() <= this.maximumEntries) {
			return values;
		}
		return values.entrySet()
			.stream()
			.sorted(Map.Entry.<String, V>comparingByValue(Comparator.reverseOrder())
				.thenComparing(Map.Entry.comparingByKey()))
			.limit(this.maximumEntries)
			.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
	}

}
