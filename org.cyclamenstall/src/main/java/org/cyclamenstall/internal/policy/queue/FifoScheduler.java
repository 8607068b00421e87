package org.cyclamenstall.internal.policy.queue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.cyclamenstall.catalogue.Tier;
import org.jspecify.annotations.Nullable;

/**
 * Dispatches requests in order of arrival, regardless of their tier; a requeued request
 * precedes all others. Serves as the baseline for other schedulers; never sheds a request
 * in favour of another. Not thread-safe.
 *
 * @param <T> the type of request
 */
public final class FifoScheduler<T extends QueuedRequest> implements Scheduler<T> {

	private final Deque<T> requests = new ArrayDeque<>();

	private final int[] sizes = new int[Tier.values().length];

	@Override
	public void add(T request) {
		this.requests.addLast(request);
		this.sizes[request.tier().ordinal()]++;
	}

	@Override
	public void requeue(T request) {
		this.requests.addFirst(request);
		this.sizes[request.tier().ordinal()]++;
	}

	@Override
	public boolean remove(T request) {
		boolean removed = this.requests.remove(request);
		if (removed) {
			this.sizes[request.tier().ordinal()]--;
		}
		return removed;
	}

	@Override
	public @Nullable T poll(long nowNanos, SlotAllocator<T> slotAllocator) {
		T head = this.requests.peekFirst();
		if (head == null || !slotAllocator.tryAllocate(head, SlotReason.SCHEDULED)) {
			return null;
		}
		remove(head);
		return head;
	}

	@Override
	public @Nullable T selectVictim(Tier arrivingTier) {
		return null;
	}

	@Override
	public boolean hasSheddable(Tier tier) {
		return false;
	}

	@Override
	public List<T> all() {
		return List.copyOf(this.requests);
	}

	@Override
	public int size(Tier tier) {
		return this.sizes[tier.ordinal()];
	}

	@Override
	public int size() {
		return this.requests.size();
	}

	@Override
	public int countAhead(Tier tier) {
		return this.requests.size();
	}

}
