package org.cyclamenstall.internal.policy;

import java.util.HashMap;
import java.util.Map;

import org.cyclamenstall.internal.policy.limits.SharedLimit;
import org.cyclamenstall.policy.DemandReport;

/**
 * Collects the demand of this daemon for a report. Not thread-safe.
 */
final class DemandCollector {

	private final Map<String, Double> demandByLimit = new HashMap<>();

	private final Map<String, Integer> inFlightByUpstream = new HashMap<>();

	void addLimitDemand(String name, double demand) {
		if (demand >= SharedLimit.MINIMUM_REPORTED_DEMAND) {
			this.demandByLimit.put(name, demand);
		}
	}

	void addInFlight(String upstream, int count) {
		if (count > 0) {
			this.inFlightByUpstream.merge(upstream, count, Integer::sum);
		}
	}

	Map<String, Double> demandByLimit() {
		return this.demandByLimit;
	}

	DemandReport toReport() {
		return new DemandReport(Map.copyOf(this.demandByLimit), Map.copyOf(this.inFlightByUpstream));
	}

}
