package org.cyclamenstall.internal.policy.limits;

import java.util.List;

/**
 * Divides a limit by demand. Each daemon gets its demand plus an even part of the unused
 * remainder or, if the total demand exceeds the limit, a share in proportion to its
 * demand. In the latter case a small fraction is still divided evenly if there are no
 * priority levels, so that a daemon can admit its first requests before the next exchange
 * of reports. An even part stays reserved for each daemon without a current report.
 * Daemons with the same view of the demand never exceed the limit together. Immutable.
 */
public final class DemandShareAllocator implements ShareAllocator {

	private static final double EVEN_FRACTION = 0.04;

	@Override
	public double allocate(double limit, FleetDemand demand) {
		int sharingHostCount = demand.sharingHostCount();
		double evenShare = limit / sharingHostCount;
		double available = limit - evenShare * demand.hostsWithoutReport();
		int reportingHosts = sharingHostCount - demand.hostsWithoutReport();
		double total = demand.own() + demand.peers();
		if (total <= available) {
			return demand.own() + (available - total) / reportingHosts;
		}
		return EVEN_FRACTION * available / reportingHosts + (1 - EVEN_FRACTION) * available * demand.own() / total;
	}

	@Override
	public double allocateByPriority(double limit, List<FleetDemand> demands) {
		int sharingHostCount = demands.get(0).sharingHostCount();
		int hostsWithoutReport = demands.get(0).hostsWithoutReport();
		double available = limit - limit / sharingHostCount * hostsWithoutReport;
		double share = 0;
		for (FleetDemand demand : demands) {
			double total = demand.own() + demand.peers();
			double allocated = Math.min(total, available);
			share += (total > 0) ? allocated * demand.own() / total : 0;
			available -= allocated;
		}
		return share + available / (sharingHostCount - hostsWithoutReport);
	}

}
