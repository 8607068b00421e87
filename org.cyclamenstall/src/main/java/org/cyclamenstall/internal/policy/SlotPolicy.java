package org.cyclamenstall.internal.policy;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.internal.policy.limits.DemandTracker;
import org.cyclamenstall.internal.policy.limits.FleetDemand;
import org.cyclamenstall.internal.policy.limits.ShareAllocator;
import org.cyclamenstall.internal.policy.limits.SharedLimit;
import org.cyclamenstall.internal.policy.upstream.Upstream;

/**
 * Limits how many slots of a service this daemon uses, in total and per tier. The slots
 * are divided among the daemons by demand, higher tiers first. A reserve of slots is kept
 * free of lower tiers; its size follows the recent peak demand of the higher tiers. Not
 * thread-safe: guarded by the controller's lock.
 */
final class SlotPolicy {

	private static final double MINIMUM_RESERVE_SHARE = 0.1;

	private static final double MAXIMUM_RESERVE_SHARE = 0.9;

	private static final double PEAK_HALF_LIFE_NANOS = 2e9;

	/** Share of the slots of the fleet for requests that are granted by age. */
	private static final double AGED_SHARE = 0.05;

	/**
	 * Number of free slots of an upstream above which the highest tier may exceed the
	 * share of this daemon.
	 */
	private static final int SPARE_SLOTS = 2;

	private static final double ROUNDING_OFFSET = 0.5;

	private final String service;

	private final boolean usesTiers;

	private final ShareAllocator allocator;

	private final DemandTracker demandTracker;

	private final int tierCount = Tier.values().length;

	private final int[] inFlight = new int[this.tierCount];

	private final double[] peakDemand = new double[this.tierCount];

	private final SharedLimit agedLimit;

	private int agedInFlight;

	private int agedSlots = 1;

	/** Number of slots of the service that this daemon may use. */
	private int capacity;

	private int windowTotal;

	private double shareFraction = 1;

	private boolean ownsAllSlots = true;

	private long peakUpdatedAtNanos;

	SlotPolicy(String service, boolean usesTiers, ShareAllocator allocator, DemandTracker demandTracker) {
		this.service = service;
		this.usesTiers = usesTiers;
		this.allocator = allocator;
		this.agedLimit = new SharedLimit(agedLimitName(), allocator, demandTracker);
		this.demandTracker = demandTracker;
	}

	String limitName(Tier tier) {
		return "slots/" + this.service + "/" + tier.label();
	}

	double peakDemand(Tier tier) {
		return this.peakDemand[tier.ordinal()];
	}

	int agedInFlight() {
		return this.agedInFlight;
	}

	String agedLimitName() {
		return "slots/" + this.service + "/aged";
	}

	int capacity() {
		return this.capacity;
	}

	void recordStart(Tier tier, boolean byAge) {
		this.inFlight[tier.ordinal()]++;
		this.agedInFlight += byAge ? 1 : 0;
	}

	void recordEnd(Tier tier, boolean byAge) {
		this.inFlight[tier.ordinal()]--;
		this.agedInFlight -= byAge ? 1 : 0;
	}

	void recordDemand(Tier tier, int count, long nowNanos) {
		double decay = Math.pow(0.5, (nowNanos - this.peakUpdatedAtNanos) / PEAK_HALF_LIFE_NANOS);
		this.peakDemand[tier.ordinal()] = Math.max(count, this.peakDemand[tier.ordinal()] * decay);
		// Tiers are recorded in order; the last one updates the time that all decay from.
		if (tier.ordinal() == this.tierCount - 1) {
			this.peakUpdatedAtNanos = nowNanos;
		}
	}

	void refresh(List<Upstream> upstreams, long nowNanos) {
		int fleetSlots = 0;
		int windowTotal = 0;
		for (Upstream upstream : upstreams) {
			if (upstream.isLive(nowNanos)) {
				fleetSlots += upstream.slots();
				windowTotal += upstream.windowSize();
			}
		}
		this.agedSlots = this.agedLimit.roundedShare(Math.max(1, fleetSlots * AGED_SHARE));
		double share = daemonShare(fleetSlots);
		this.ownsAllSlots = share >= fleetSlots;
		this.windowTotal = windowTotal;
		this.shareFraction = (fleetSlots > 0) ? Math.min(1, share / fleetSlots) : 1;
		this.capacity = Math.min(windowTotal, Math.max(1, (int) (share + ROUNDING_OFFSET)));
	}

	private double daemonShare(int fleetSlots) {
		List<FleetDemand> demands = new ArrayList<>();
		for (Tier tier : Tier.values()) {
			demands.add(this.demandTracker.demandOf(limitName(tier)));
		}
		return this.allocator.allocateByPriority(fleetSlots, demands);
	}

	boolean hasCapacity(Tier tier, boolean byAge) {
		int total = 0;
		int lowerInFlight = 0;
		for (int index = 0; index < this.tierCount; index++) {
			total += this.inFlight[index];
			lowerInFlight += (index >= tier.ordinal()) ? this.inFlight[index] : 0;
		}
		int limit = (tier.ordinal() == 0 && this.usesTiers) ? this.windowTotal : this.capacity;
		if (total >= limit || (byAge && this.agedInFlight >= this.agedSlots)) {
			return false;
		}
		return byAge || tier.ordinal() == 0 || !this.usesTiers || lowerInFlight < lowerTierLimit(this.capacity, tier);
	}

	boolean hasSlot(Upstream upstream, Tier tier, boolean byAge) {
		int maximumInFlight = maximumInFlight(upstream, tier);
		if (upstream.inFlight() >= maximumInFlight) {
			return false;
		}
		if (byAge || tier.ordinal() == 0 || !this.usesTiers) {
			return true;
		}
		int lowerInFlight = 0;
		for (int index = tier.ordinal(); index < this.tierCount; index++) {
			lowerInFlight += upstream.inFlight(Tier.values()[index]);
		}
		return lowerInFlight < lowerTierLimit(maximumInFlight, tier);
	}

	int maximumInFlight(Upstream upstream, Tier tier) {
		int window = upstream.windowSize();
		if (tier.ordinal() == 0 && this.usesTiers) {
			return hasFreeSlots(upstream, SPARE_SLOTS) ? window : Math.min(window, maximumInFlight(upstream));
		}
		return maximumInFlight(upstream);
	}

	int maximumInFlight(Upstream upstream) {
		int window = upstream.windowSize();
		if (this.ownsAllSlots) {
			return window;
		}
		int baseSlots = (int) (upstream.slots() * this.shareFraction);
		int extra = hasFreeSlots(upstream, 0) ? 1 : 0;
		return Math.max(1, Math.min(window, baseSlots + extra));
	}

	private static boolean hasFreeSlots(Upstream upstream, int spareSlots) {
		return upstream.inFlight() + upstream.peersInFlight() + spareSlots < upstream.slots();
	}

	/**
	 * Returns how many slots a tier and those below it may occupy together.
	 * @param slots the number of slots available to all tiers
	 * @param tier the tier
	 * @return the number of slots, at least one
	 */
	private int lowerTierLimit(int slots, Tier tier) {
		double higherDemand = 0;
		for (int index = 0; index < tier.ordinal(); index++) {
			higherDemand += this.peakDemand[index];
		}
		double reserve = higherDemand / Math.max(1, this.capacity);
		reserve = Math.max(MINIMUM_RESERVE_SHARE, Math.min(MAXIMUM_RESERVE_SHARE, reserve));
		return Math.max(1, (int) Math.ceil(slots * (1 - reserve)));
	}

}
