package org.cyclamenstall.internal.policy.limits;

import java.util.List;

/**
 * Gives each daemon its demand and an even part of what is left, or, if the demand
 * exceeds the limit, a part in proportion. A small part is divided evenly in any case, so
 * that a daemon's first requests need not wait for an exchange. A live daemon that is
 * silent keeps an even part reserved. Daemons with the same view never exceed the limit
 * together. Immutable.
 */
public final class DemandShare implements LimitShare {

	private static final double EVEN_PART = 0.04;

	@Override
	public double share(double limit, FleetDemand demand) {
		int hosts = demand.liveHosts();
		double evenShare = limit / hosts;
		double open = limit - evenShare * demand.silentHosts();
		int heard = hosts - demand.silentHosts();
		double total = demand.own() + demand.peers();
		if (total <= open) {
			return demand.own() + (open - total) / heard;
		}
		return EVEN_PART * open / heard + (1 - EVEN_PART) * open * demand.own() / total;
	}

	@Override
	public double rankedShare(double limit, List<FleetDemand> demands) {
		int hosts = demands.get(0).liveHosts();
		int silent = demands.get(0).silentHosts();
		double open = limit - limit / hosts * silent;
		double share = 0;
		for (FleetDemand demand : demands) {
			double total = demand.own() + demand.peers();
			double granted = Math.min(total, open);
			share += (total > 0) ? granted * demand.own() / total : 0;
			open -= granted;
		}
		return share + open / (hosts - silent);
	}

}
