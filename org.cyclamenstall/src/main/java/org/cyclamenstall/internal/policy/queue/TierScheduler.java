package org.cyclamenstall.internal.policy.queue;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.catalogue.Tier;
import org.jspecify.annotations.Nullable;

/**
 * Serves the highest tier first, and within a tier divides the slots among client
 * accounts. A lower tier whose oldest request waited for {@link #AGED_NANOS} gets a slot
 * before the others, at most once in {@link #AGED_INTERVAL_NANOS}; nothing is dropped for
 * it. Not thread-safe.
 *
 * @param <T> the type of request
 */
public final class TierScheduler<T extends QueuedRequest> implements Scheduler<T> {

	/** The wait after which a request of a lower tier comes first, in nanoseconds. */
	public static final long AGED_NANOS = 10_000_000_000L;

	/** The shortest time between two such requests, in nanoseconds. */
	public static final long AGED_INTERVAL_NANOS = 1_000_000_000L;

	private final List<TierQueue<T>> tiers = new ArrayList<>();

	private long lastAgedNanos;

	private boolean servedAged;

	/**
	 * Creates an empty queue for each tier.
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
	public void addFirst(T request) {
		queue(request.tier()).addFirst(request);
	}

	@Override
	public boolean remove(T request) {
		return queue(request.tier()).remove(request);
	}

	@Override
	public @Nullable T poll(long nowNanos, SlotFinder<T> slotFinder) {
		T aged = pollAged(nowNanos, slotFinder);
		if (aged != null) {
			return aged;
		}
		for (TierQueue<T> queue : this.tiers) {
			T found = queue.poll(slotFinder);
			if (found != null) {
				return found;
			}
		}
		return null;
	}

	private @Nullable T pollAged(long nowNanos, SlotFinder<T> slotFinder) {
		if (this.servedAged && nowNanos - this.lastAgedNanos < AGED_INTERVAL_NANOS) {
			return null;
		}
		T oldest = oldestAged(nowNanos);
		if (oldest == null || !slotFinder.find(oldest, SlotClaim.AGE)) {
			return null;
		}
		remove(oldest);
		this.servedAged = true;
		this.lastAgedNanos = nowNanos;
		return oldest;
	}

	private @Nullable T oldestAged(long nowNanos) {
		T oldest = null;
		for (int tier = 1; tier < this.tiers.size(); tier++) {
			T candidate = this.tiers.get(tier).oldest();
			if (candidate != null && nowNanos - candidate.arrivalNanos() >= AGED_NANOS
					&& (oldest == null || candidate.arrivalNanos() - oldest.arrivalNanos() < 0)) {
				oldest = candidate;
			}
		}
		return oldest;
	}

	@Override
	public @Nullable T victimFor(Tier arriving) {
		for (int tier = this.tiers.size() - 1; tier > arriving.ordinal(); tier--) {
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
	public int ahead(Tier tier) {
		int count = 0;
		for (int above = 0; above <= tier.ordinal(); above++) {
			count += this.tiers.get(above).size();
		}
		return count;
	}

	private TierQueue<T> queue(Tier tier) {
		return this.tiers.get(tier.ordinal());
	}

}
