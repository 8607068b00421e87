package org.cyclamenstall.internal.policy.limits;

import java.util.List;

/**
 * Divides a limit evenly among the live daemons, regardless of demand. Immutable.
 */
public final class EvenShare implements LimitShare {

	@Override
	public double share(double limit, FleetDemand demand) {
		return limit / demand.liveHosts();
	}

	@Override
	public double rankedShare(double limit, List<FleetDemand> demands) {
		return limit / demands.get(0).liveHosts();
	}

}
