package org.cyclamenstall.internal.policy.queue;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.catalogue.Tier;
import org.jspecify.annotations.Nullable;

/**
 * Dispatches the highest tier first, and shares the slots of a tier among client
 * accounts. To prevent starvation, a lower tier whose oldest request arrived
 * {@link #AGING_THRESHOLD_NANOS} ago gets a slot ahead of the higher tiers, at most once
 * per {@link #AGING_INTERVAL_NANOS}; no request is shed for it. Not thread-safe.
 *
 * @param <T> the type of request
 */
public final class TierScheduler<T extends QueuedRequest> implements Scheduler<T> {

	/** Time since arrival after which a request of a lower tier is dispatched first. */
	public static final long AGING_THRESHOLD_NANOS = 10_000_000_000L;

	/** Minimum time between two requests that are dispatched because of their age. */
	public static final long AGING_INTERVAL_NANOS = 1_000_000_000L;

	private final List<TierQueue<T>> tiers = new ArrayList<>();

	private long lastAgedDispatchAtNanos;

	private boolean agedDispatched;

	/**
	 * Creates a scheduler with an empty queue for each tier.
	 */
	public TierScheduler() {
		for (int tier = 0; tier < Tier.values().length; tier++) {
			this.tiers.add(new TierQueue<>());
		}
	}

	@Override
	public void add(T request) {
		queue(request.tier()).add(request);
	}

	@Override
	public void requeue(T request) {
		queue(request.tier()).requeue(request);
	}

	@Override
	public boolean remove(T request) {
		return queue(request.tier()).remove(request);
	}

	@Override
	public @Nullable T poll(long nowNanos, SlotAllocator<T> slotAllocator) {
		T aged = pollAged(nowNanos, slotAllocator);
		if (aged != null) {
			return aged;
		}
		for (TierQueue<T> queue : this.tiers) {
			T found = queue.poll(slotAllocator);
			if (found != null) {
				return found;
			}
		}
		return null;
	}

	private @Nullable T pollAged(long nowNanos, SlotAllocator<T> slotAllocator) {
		if (this.agedDispatched && nowNanos - this.lastAgedDispatchAtNanos < AGING_INTERVAL_NANOS) {
			return null;
		}
		T oldest = oldestAged(nowNanos);
		if (oldest == null || !slotAllocator.tryAllocate(oldest, SlotReason.AGED)) {
			return null;
		}
		remove(oldest);
		this.agedDispatched = true;
		this.lastAgedDispatchAtNanos = nowNanos;
		return oldest;
	}

	private @Nullable T oldestAged(long nowNanos) {
		T oldest = null;
		for (int tier = 1; tier < this.tiers.size(); tier++) {
			T candidate = this.tiers.get(tier).oldest();
			if (candidate != null && nowNanos - candidate.arrivalNanos() >= AGING_THRESHOLD_NANOS
					&& (oldest == null || candidate.arrivalNanos() - oldest.arrivalNanos() < 0)) {
				oldest = candidate;
			}
		}
		return oldest;
	}

	@Override
	public @Nullable T selectVictim(Tier arrivingTier) {
		for (int tier = this.tiers.size() - 1; tier > arrivingTier.ordinal(); tier--) {
			T victim = this.tiers.get(tier).newestSheddable();
			if (victim != null) {
				return victim;
			}
		}
		return null;
	}

	@Override
	public boolean hasSheddable(Tier tier) {
		return queue(tier).newestSheddable() != null;
	}

	@Override
	public List<T> all() {
		List<T> requests = new ArrayList<>();
		for (int tier = this.tiers.size() - 1; tier >= 0; tier--) {
			requests.addAll(this.tiers.get(tier).all());
		}
		return requests;
	}

	@Override
	public int size(Tier tier) {
		return queue(tier).size();
	}

	@Override
	public int size() {
		return this.tiers.stream().mapToInt(TierQueue::size).sum();
	}

	@Override
	public int countAhead(Tier tier) {
		int count = 0;
		for (int ordinal = 0; ordinal <= tier.ordinal(); ordinal++) {
			count += this.tiers.get(ordinal).size();
		}
		return count;
	}

	private TierQueue<T> queue(Tier tier) {
		return this.tiers.get(tier.ordinal());
	}

}
