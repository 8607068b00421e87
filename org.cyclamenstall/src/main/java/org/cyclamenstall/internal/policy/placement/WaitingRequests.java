package org.cyclamenstall.internal.policy.placement;

import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Holds the requests of one service that wait, in the order in which they are served.
 * Answers the load pattern of a crest that cannot be served on time as a whole: strictly
 * by rank; within a rank first those that can still be on time, the earliest objective
 * first, then the others by arrival. A request that can no longer be on time does not
 * make the next one late too. Not thread-safe.
 */
final class WaitingRequests {

	private static final Comparator<PlacementTicket> ORDER = Comparator.comparingInt(PlacementTicket::priority)
		.thenComparing(PlacementTicket::isOverdue)
		.thenComparingLong(PlacementTicket::dueNanos)
		.thenComparingLong(PlacementTicket::sequence);

	private final TreeSet<PlacementTicket> waiting = new TreeSet<>(ORDER);

	private double work;

	void add(PlacementTicket ticket) {
		this.waiting.add(ticket);
		this.work += ticket.work();
	}

	boolean remove(PlacementTicket ticket) {
		boolean removed = this.waiting.remove(ticket);
		this.work -= removed ? ticket.work() : 0;
		return removed;
	}

	int size() {
		return this.waiting.size();
	}

	/**
	 * Returns the work that is served before a request.
	 * @param ticket the request
	 * @return the work
	 */
	double workAhead(PlacementTicket ticket) {
		return this.waiting.headSet(ticket).stream().mapToDouble(PlacementTicket::work).sum();
	}

	double work() {
		return this.work;
	}

	/**
	 * Takes out the requests that are accepted, in order.
	 * @param accepts tries to serve a request
	 */
	void serve(Predicate<PlacementTicket> accepts) {
		for (Iterator<PlacementTicket> each = this.waiting.iterator(); each.hasNext();) {
			PlacementTicket ticket = each.next();
			if (accepts.test(ticket)) {
				each.remove();
				this.work -= ticket.work();
			}
		}
	}

	/**
	 * Puts the requests behind the others of their rank that cannot be on time any more.
	 * @param nowNanos the time on the monotonic clock
	 */
	void markOverdue(long nowNanos) {
		List<PlacementTicket> overdue = this.waiting.stream()
			.filter((ticket) -> !ticket.isOverdue() && nowNanos - ticket.dueNanos() > 0)
			.toList();
		for (PlacementTicket ticket : overdue) {
			this.waiting.remove(ticket);
			ticket.becomeOverdue();
			this.waiting.add(ticket);
		}
	}

	List<PlacementTicket> all() {
		return List.copyOf(this.waiting);
	}

}
