package org.cyclamenstall.internal.policy.limits;

import java.util.List;

/**
 * Divides a fleet-wide limit among the daemons. Implementations are immutable and do no
 * I/O.
 */
public interface ShareAllocator {

	/**
	 * Returns the share of this daemon.
	 * @param limit the fleet-wide limit, in its own unit
	 * @param demand the demand on the limit
	 * @return the share, in the same unit
	 */
	double allocate(double limit, FleetDemand demand);

	/**
	 * Returns the share of this daemon if the demand is split into priority levels that
	 * are satisfied in order.
	 * @param limit the fleet-wide limit, in its own unit
	 * @param demands the demand of each priority level, highest first
	 * @return the share, in the same unit
	 */
	double allocateByPriority(double limit, List<FleetDemand> demands);

}
