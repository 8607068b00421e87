package org.cyclamenstall.internal.policy.limits;

import java.util.List;

/**
 * Divides a limit evenly among the daemons, regardless of demand. Serves as the baseline
 * for other allocators. Immutable.
 */
public final class EvenShareAllocator implements ShareAllocator {

	@Override
	public double allocate(double limit, FleetDemand demand) {
		return limit / demand.sharingHostCount();
	}

	@Override
	public double allocateByPriority(double limit, List<FleetDemand> demands) {
		return limit / demands.get(0).sharingHostCount();
	}

}
