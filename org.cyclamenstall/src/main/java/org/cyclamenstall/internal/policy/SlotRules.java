package org.cyclamenstall.internal.policy;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.internal.policy.limits.FleetDemand;
import org.cyclamenstall.internal.policy.limits.LimitShare;
import org.cyclamenstall.internal.policy.limits.PeerDemand;
import org.cyclamenstall.internal.policy.limits.SharedLimit;
import org.cyclamenstall.internal.policy.upstream.Upstream;

/**
 * Bounds how many slots of a service this daemon holds, and how many of them each tier.
 * The daemons divide the slots by demand, higher tiers first. A part of the slots is kept
 * free of lower tiers; it follows the peak of the higher tiers' demand. Not thread-safe:
 * the controller's lock guards it.
 */
final class SlotRules {

	private static final double LEAST_RESERVE = 0.1;

	private static final double LARGEST_RESERVE = 0.9;

	private static final double PEAK_HALF_LIFE_NANOS = 2e9;

	private static final double AGED_PART = 0.05;

	private static final int SPARE_SLOTS = 2;

	private static final double ROUNDING = 0.5;

	private final String service;

	private final boolean tiers;

	private final LimitShare share;

	private final PeerDemand peers;

	private final int tierCount = Tier.values().length;

	private final int[] inFlight = new int[this.tierCount];

	private final double[] peak = new double[this.tierCount];

	private final SharedLimit aged;

	private int agedInFlight;

	private int agedPart = 1;

	private int capacity;

	private int windows;

	private double fraction = 1;

	private boolean alone = true;

	private long peakAtNanos;

	SlotRules(String service, boolean tiers, LimitShare share, PeerDemand peers) {
		this.service = service;
		this.tiers = tiers;
		this.share = share;
		this.aged = new SharedLimit(agedLimitName(), share, peers);
		this.peers = peers;
	}

	String limitName(Tier tier) {
		return "slots/" + this.service + "/" + tier.label();
	}

	double peak(Tier tier) {
		return this.peak[tier.ordinal()];
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

	void started(Tier tier, boolean aged) {
		this.inFlight[tier.ordinal()]++;
		this.agedInFlight += aged ? 1 : 0;
	}

	void ended(Tier tier, boolean aged) {
		this.inFlight[tier.ordinal()]--;
		this.agedInFlight -= aged ? 1 : 0;
	}

	void demand(Tier tier, int count, long nowNanos) {
		double decay = Math.pow(0.5, (nowNanos - this.peakAtNanos) / PEAK_HALF_LIFE_NANOS);
		this.peak[tier.ordinal()] = Math.max(count, this.peak[tier.ordinal()] * decay);
		if (tier.ordinal() == this.tierCount - 1) {
			this.peakAtNanos = nowNanos;
		}
	}

	void refresh(List<Upstream> upstreams, long nowNanos) {
		int fleetSlots = 0;
		int windows = 0;
		for (Upstream upstream : upstreams) {
			if (upstream.isLive(nowNanos)) {
				fleetSlots += upstream.slots();
				windows += upstream.windowSize();
			}
		}
		this.agedPart = this.aged.roundedShare(Math.max(1, fleetSlots * AGED_PART));
		double share = fleetShare(fleetSlots);
		this.alone = share >= fleetSlots;
		this.windows = windows;
		this.fraction = (fleetSlots > 0) ? Math.min(1, share / fleetSlots) : 1;
		this.capacity = Math.min(windows, Math.max(1, (int) (share + ROUNDING)));
	}

	private double fleetShare(int fleetSlots) {
		List<FleetDemand> demands = new ArrayList<>();
		for (Tier tier : Tier.values()) {
			demands.add(this.peers.demandOf(limitName(tier)));
		}
		return this.share.rankedShare(fleetSlots, demands);
	}

	boolean hasRoom(Tier tier, boolean aged) {
		int total = 0;
		int lower = 0;
		for (int index = 0; index < this.tierCount; index++) {
			total += this.inFlight[index];
			lower += (index >= tier.ordinal()) ? this.inFlight[index] : 0;
		}
		int bound = (tier.ordinal() == 0 && this.tiers) ? this.windows : this.capacity;
		if (total >= bound || (aged && this.agedInFlight >= this.agedPart)) {
			return false;
		}
		return aged || tier.ordinal() == 0 || !this.tiers || lower < lowerPart(this.capacity, tier);
	}

	boolean fits(Upstream upstream, Tier tier, boolean aged) {
		int allowed = allowed(upstream, tier);
		if (upstream.inFlight() >= allowed) {
			return false;
		}
		if (aged || tier.ordinal() == 0 || !this.tiers) {
			return true;
		}
		int lower = 0;
		for (int index = tier.ordinal(); index < this.tierCount; index++) {
			lower += upstream.inFlight(Tier.values()[index]);
		}
		return lower < lowerPart(allowed, tier);
	}

	int allowed(Upstream upstream, Tier tier) {
		int window = upstream.windowSize();
		if (tier.ordinal() == 0 && this.tiers) {
			return hasFreeSlots(upstream, SPARE_SLOTS) ? window : Math.min(window, allowed(upstream));
		}
		return allowed(upstream);
	}

	int allowed(Upstream upstream) {
		int window = upstream.windowSize();
		if (this.alone) {
			return window;
		}
		int base = (int) (upstream.slots() * this.fraction);
		int more = hasFreeSlots(upstream, 0) ? 1 : 0;
		return Math.max(1, Math.min(window, base + more));
	}

	private static boolean hasFreeSlots(Upstream upstream, int spare) {
		return upstream.inFlight() + upstream.peersInFlight() + spare < upstream.slots();
	}

	private int lowerPart(int slots, Tier tier) {
		double above = 0;
		for (int index = 0; index < tier.ordinal(); index++) {
			above += this.peak[index];
		}
		double reserve = above / Math.max(1, this.capacity);
		reserve = Math.max(LEAST_RESERVE, Math.min(LARGEST_RESERVE, reserve));
		return Math.max(1, (int) Math.ceil(slots * (1 - reserve)));
	}

}
