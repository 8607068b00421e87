package org.cyclamenstall.internal.peers;

import java.util.Comparator;
import java.util.Map;
import java.util.stream.Collectors;

import org.cyclamenstall.policy.DemandReport;

/**
 * Bounds the size of a demand report by leaving out the smallest values, so that a
 * message to a peer does not grow with the accounts and upstreams of the deployment.
 * Immutable and therefore thread-safe.
 */
public final class DemandBound {

	private final int entries;

	/**
	 * Creates a bound.
	 * @param entries the largest number of limits, and of upstreams, in a report
	 */
	public DemandBound(int entries) {
		this.entries = entries;
	}

	/**
	 * Returns the part of a report that fits.
	 * @param report the report
	 * @return the report with its largest values
	 */
	public DemandReport apply(DemandReport report) {
		return new DemandReport(largest(report.demandByLimit()), largest(report.inFlightByUpstream()));
	}

	private <V extends Comparable<V>> Map<String, V> largest(Map<String, V> values) {
		if (values.size() <= this.entries) {
			return values;
		}
		return values.entrySet()
			.stream()
			.sorted(Map.Entry.<String, V>comparingByValue(Comparator.reverseOrder())
				.thenComparing(Map.Entry.comparingByKey()))
			.limit(this.entries)
			.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
	}

}
