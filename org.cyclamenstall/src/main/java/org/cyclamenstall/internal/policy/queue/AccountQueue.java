package org.cyclamenstall.internal.policy.queue;

import java.util.Iterator;
import java.util.LinkedHashSet;

import org.jspecify.annotations.Nullable;

/**
 * Holds the queued requests of one client account within a tier, and the deficit counter
 * of the account in tokens. Not thread-safe.
 *
 * @param <T> the type of request
 */
final class AccountQueue<T extends QueuedRequest> {

	private final LinkedHashSet<T> requests = new LinkedHashSet<>();

	private double deficitTokens;

	void add(T request) {
		this.requests.add(request);
	}

	boolean remove(T request) {
		return this.requests.remove(request);
	}

	boolean isEmpty() {
		return this.requests.isEmpty();
	}

	@Nullable T head() {
		Iterator<T> iterator = this.requests.iterator();
		return iterator.hasNext() ? iterator.next() : null;
	}

	double deficitTokens() {
		return this.deficitTokens;
	}

	void addCredit(double tokens) {
		this.deficitTokens += tokens;
	}

	void deductCost(double tokens) {
		this.deficitTokens -= tokens;
	}

}
