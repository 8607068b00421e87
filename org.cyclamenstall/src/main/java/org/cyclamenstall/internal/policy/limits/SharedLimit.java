package org.cyclamenstall.internal.policy.limits;

/**
 * Computes this daemon's share of one fleet-wide limit and caches it until the demand or
 * the limit changes. Not thread-safe.
 */
public final class SharedLimit {

	/** Demand below which a limit is omitted from the demand report. */
	public static final double MINIMUM_REPORTED_DEMAND = 0.01;

	private static final double ROUNDING_OFFSET = 0.5;

	private final String name;

	private final ShareAllocator allocator;

	private final DemandTracker demandTracker;

	private long demandVersion = -1;

	private double currentLimit = -1;

	private FleetDemand demand = new FleetDemand(0, 0, 0, 1);

	private double currentShare;

	/**
	 * Creates a limit.
	 * @param name the name of the limit in demand reports
	 * @param allocator the allocator that divides the limit among the daemons
	 * @param demandTracker the demand of all daemons
	 */
	public SharedLimit(String name, ShareAllocator allocator, DemandTracker demandTracker) {
		this.name = name;
		this.allocator = allocator;
		this.demandTracker = demandTracker;
	}

	/**
	 * Returns the name of this limit in demand reports.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns this daemon's share.
	 * @param fleetLimit the fleet-wide limit
	 * @return the share, in the unit of the limit
	 */
	public double share(double fleetLimit) {
		if (this.demandVersion != this.demandTracker.version() || this.currentLimit != fleetLimit) {
			this.demandVersion = this.demandTracker.version();
			this.currentLimit = fleetLimit;
			this.demand = this.demandTracker.demandOf(this.name);
			this.currentShare = this.allocator.allocate(fleetLimit, this.demand);
		}
		return this.currentShare;
	}

	/**
	 * Returns this daemon's share, rounded to a whole number. A share that rounds to zero
	 * is raised to one if the demand of the other daemons leaves at least one unit free.
	 * @param fleetLimit the fleet-wide limit
	 * @return the rounded share
	 */
	public int roundedShare(double fleetLimit) {
		int rounded = (int) (share(fleetLimit) + ROUNDING_OFFSET);
		return (rounded == 0 && this.demand.peers() + 1 <= fleetLimit) ? 1 : rounded;
	}

}
