package org.cyclamenstall.internal.policy.limits;

/**
 * Gives this daemon's share of one fleet-wide limit; keeps it until a report changes it.
 * Not thread-safe.
 */
public final class SharedLimit {

	/** The demand below which none is reported. */
	public static final double LEAST_DEMAND = 0.01;

	private static final double ROUNDING = 0.5;

	private final String name;

	private final LimitShare share;

	private final PeerDemand peers;

	private long version = -1;

	private double limit = -1;

	private FleetDemand demand = new FleetDemand(0, 0, 0, 1);

	private double current;

	/**
	 * Creates a limit.
	 * @param name its name among the peers
	 * @param share divides it
	 * @param peers the demand of the daemons
	 */
	public SharedLimit(String name, LimitShare share, PeerDemand peers) {
		this.name = name;
		this.share = share;
		this.peers = peers;
	}

	/**
	 * Returns the name among the peers.
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
		if (this.version != this.peers.version() || this.limit != fleetLimit) {
			this.version = this.peers.version();
			this.limit = fleetLimit;
			this.demand = this.peers.demandOf(this.name);
			this.current = this.share.share(fleetLimit, this.demand);
		}
		return this.current;
	}

	/**
	 * Returns this daemon's share in whole units. It is at least one while the other
	 * daemons leave something of the limit.
	 * @param fleetLimit the fleet-wide limit
	 * @return the share
	 */
	public int wholeShare(double fleetLimit) {
		int whole = (int) (share(fleetLimit) + ROUNDING);
		return (whole == 0 && this.demand.peers() + 1 <= fleetLimit) ? 1 : whole;
	}

}
