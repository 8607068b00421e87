package org.cyclamenstall.internal.policy.limits;

import java.util.List;

/**
 * Divides a fleet-wide limit among daemons. Does no input or output. Immutable.
 */
public interface LimitShare {

	/**
	 * Returns the part of this daemon.
	 * @param limit the fleet-wide limit, in its own unit
	 * @param demand the demand on the limit
	 * @return the part, in the same unit
	 */
	double share(double limit, FleetDemand demand);

	/**
	 * Returns the part of this daemon of a limit that ranked kinds of demand compete for.
	 * @param limit the fleet-wide limit, in its own unit
	 * @param demands the demand of each rank, highest first
	 * @return the part, in the same unit
	 */
	double rankedShare(double limit, List<FleetDemand> demands);

}
