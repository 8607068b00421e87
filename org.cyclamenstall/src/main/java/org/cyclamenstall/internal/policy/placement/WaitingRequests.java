package org.cyclamenstall.internal.policy.placement;

import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Holds the queued requests of one service. Requests are ordered by priority; within a
 * priority, those that can still meet their latency objective precede the overdue ones,
 * ordered by the deadline of the objective. Thus, during a load peak that exceeds the
 * capacity, overdue requests do not delay others beyond their objective. Not thread-safe.
 */
final class WaitingRequests {

	private static final Comparator<PlacementTicket> ORDER = Comparator.comparingInt(PlacementTicket::priority)
		.thenComparing(PlacementTicket::isOverdue)
		.thenComparingLong(PlacementTicket::objectiveDeadlineNanos)
		.thenComparingLong(PlacementTicket::sequence);

	private final TreeSet<PlacementTicket> tickets = new TreeSet<>(ORDER);

	private double totalWorkTokens;

	void add(PlacementTicket ticket) {
		this.tickets.add(ticket);
		this.totalWorkTokens += ticket.fullWorkTokens();
	}

	boolean remove(PlacementTicket ticket) {
		boolean removed = this.tickets.remove(ticket);
		this.totalWorkTokens -= removed ? ticket.fullWorkTokens() : 0;
		return removed;
	}

	boolean contains(PlacementTicket ticket) {
		return this.tickets.contains(ticket);
	}

	int size() {
		return this.tickets.size();
	}

	/**
	 * Returns the total work of the requests ahead of a request.
	 * @param ticket the request
	 * @return the work in prompt tokens
	 */
	double workTokensAhead(PlacementTicket ticket) {
		return this.tickets.headSet(ticket).stream().mapToDouble(PlacementTicket::fullWorkTokens).sum();
	}

	double totalWorkTokens() {
		return this.totalWorkTokens;
	}

	/**
	 * Passes the requests in order to a function, and removes those that it dispatched.
	 * @param tryDispatch dispatches a request if an upstream has room for it, and returns
	 * whether it did
	 */
	void dispatch(Predicate<PlacementTicket> tryDispatch) {
		for (Iterator<PlacementTicket> iterator = this.tickets.iterator(); iterator.hasNext();) {
			PlacementTicket ticket = iterator.next();
			if (tryDispatch.test(ticket)) {
				iterator.remove();
				this.totalWorkTokens -= ticket.fullWorkTokens();
			}
		}
	}

	/**
	 * Moves the requests that missed their latency objective behind the others of their
	 * priority.
	 * @param nowNanos the time on the monotonic clock
	 */
	void markOverdue(long nowNanos) {
		List<PlacementTicket> overdue = this.tickets.stream()
			.filter((ticket) -> !ticket.isOverdue() && nowNanos - ticket.objectiveDeadlineNanos() > 0)
			.toList();
		for (PlacementTicket ticket : overdue) {
			this.tickets.remove(ticket);
			ticket.markOverdue();
			this.tickets.add(ticket);
		}
	}

	List<PlacementTicket> all() {
		return List.copyOf(this.tickets);
	}

}
