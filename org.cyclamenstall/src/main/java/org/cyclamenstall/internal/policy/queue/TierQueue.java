package org.cyclamenstall.internal.policy.queue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

/**
 * Holds the queued requests of one tier and shares its capacity among client accounts by
 * deficit round robin. Requests that were dispatched before are tried first and belong to
 * no account queue; each account with other queued requests appears exactly once in the
 * round-robin order. Not thread-safe.
 *
 * @param <T> the type of request
 */
final class TierQueue<T extends QueuedRequest> {

	private static final double QUANTUM_TOKENS = 1_000;

	private static final double MAXIMUM_COST_TOKENS = 4 * QUANTUM_TOKENS;

	private static final int MAXIMUM_ACCOUNTS_TRIED = 8;

	private final Map<String, AccountQueue<T>> accounts = new HashMap<>();

	private final Deque<AccountQueue<T>> roundRobinOrder = new ArrayDeque<>();

	private final TreeSet<Arrival<T>> arrivalOrder = new TreeSet<>();

	private final Map<T, Arrival<T>> arrivalsByRequest = new HashMap<>();

	private final LinkedHashSet<T> requeued = new LinkedHashSet<>();

	private long sequence;

	void add(T request) {
		index(request);
		accountOf(request).add(request);
	}

	void requeue(T request) {
		index(request);
		this.requeued.add(request);
	}

	private void index(T request) {
		Arrival<T> arrival = new Arrival<>(request.arrivalNanos(), this.sequence++, request);
		this.arrivalsByRequest.put(request, arrival);
		this.arrivalOrder.add(arrival);
	}

	private AccountQueue<T> accountOf(T request) {
		AccountQueue<T> account = this.accounts.get(request.accountName());
		if (account == null) {
			account = new AccountQueue<>();
			this.accounts.put(request.accountName(), account);
			this.roundRobinOrder.addLast(account);
		}
		return account;
	}

	boolean remove(T request) {
		Arrival<T> arrival = this.arrivalsByRequest.remove(request);
		if (arrival == null) {
			return false;
		}
		this.arrivalOrder.remove(arrival);
		if (!this.requeued.remove(request)) {
			removeFromAccount(request);
		}
		return true;
	}

	private void removeFromAccount(T request) {
		AccountQueue<T> account = this.accounts.get(request.accountName());
		if (account != null && account.remove(request) && account.isEmpty()) {
			this.accounts.remove(request.accountName());
			this.roundRobinOrder.remove(account);
		}
	}

	@Nullable T poll(SlotAllocator<T> slotAllocator) {
		T found = pollRequeued(slotAllocator);
		return (found != null) ? found : pollAccounts(slotAllocator);
	}

	private @Nullable T pollRequeued(SlotAllocator<T> slotAllocator) {
		Iterator<T> iterator = this.requeued.iterator();
		T head = iterator.hasNext() ? iterator.next() : null;
		return tryDispatch(head, slotAllocator);
	}

	private @Nullable T pollAccounts(SlotAllocator<T> slotAllocator) {
		int accountsToTry = Math.min(MAXIMUM_ACCOUNTS_TRIED, this.roundRobinOrder.size());
		for (int tried = 0; tried < accountsToTry; tried++) {
			AccountQueue<T> account = nextEligibleAccount();
			T head = account.head();
			double cost = (head != null) ? Math.min(head.cost(), MAXIMUM_COST_TOKENS) : 0;
			if (tryDispatch(head, slotAllocator) != null) {
				account.deductCost(cost);
				return head;
			}
			this.roundRobinOrder.addLast(this.roundRobinOrder.removeFirst());
		}
		return null;
	}

	private @Nullable T tryDispatch(@Nullable T head, SlotAllocator<T> slotAllocator) {
		if (head == null || !slotAllocator.tryAllocate(head, SlotReason.SCHEDULED)) {
			return null;
		}
		remove(head);
		return head;
	}

	private AccountQueue<T> nextEligibleAccount() {
		while (true) {
			AccountQueue<T> account = this.roundRobinOrder.getFirst();
			T head = account.head();
			if (head == null || account.deficitTokens() >= Math.min(head.cost(), MAXIMUM_COST_TOKENS)) {
				return account;
			}
			account.addCredit(QUANTUM_TOKENS);
			this.roundRobinOrder.addLast(this.roundRobinOrder.removeFirst());
		}
	}

	@Nullable T oldest() {
		return this.arrivalOrder.isEmpty() ? null : this.arrivalOrder.first().request();
	}

	@Nullable T newestSheddable() {
		for (Arrival<T> arrival : this.arrivalOrder.descendingSet()) {
			if (arrival.request().isSheddable()) {
				return arrival.request();
			}
		}
		return null;
	}

	Set<T> all() {
		return this.arrivalsByRequest.keySet();
	}

	int size() {
		return this.arrivalsByRequest.size();
	}

	private record Arrival<T>(long nanos, long sequence, T request) implements Comparable<Arrival<T>> {

		@Override
		public int compareTo(Arrival<T> other) {
			int order = Long.compare(this.nanos - other.nanos, 0);
			return (order != 0) ? order : Long.compare(this.sequence, other.sequence);
		}

	}

}
