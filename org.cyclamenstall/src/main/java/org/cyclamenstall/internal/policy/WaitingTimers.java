package org.cyclamenstall.internal.policy;

import java.util.function.Consumer;

/**
 * Holds when waiting requests expire and when delayed ones join their queue. A request
 * that stops waiting has no timer left. Not thread-safe: the controller's lock guards it.
 */
final class WaitingTimers {

	private final TimedRequests deadlines = new TimedRequests();

	private final TimedRequests delayed = new TimedRequests();

	/**
	 * Starts the timer of a request's deadline, if it has one.
	 * @param ticket the request
	 */
	void expireAtDeadline(PolicyTicket ticket) {
		if (ticket.hasDeadline()) {
			this.deadlines.put(ticket, ticket.deadlineNanos());
		}
	}

	void joinQueueAt(PolicyTicket ticket, long atNanos) {
		this.delayed.put(ticket, atNanos);
	}

	void stop(PolicyTicket ticket) {
		this.deadlines.remove(ticket);
		this.delayed.remove(ticket);
	}

	/**
	 * Takes out what is due: first the delayed requests, then the expired ones.
	 * @param nowNanos the time on the monotonic clock
	 * @param join is given each request whose delay is over
	 * @param expire is given each request whose deadline has passed
	 */
	void due(long nowNanos, Consumer<PolicyTicket> join, Consumer<PolicyTicket> expire) {
		each(this.delayed, nowNanos, join);
		each(this.deadlines, nowNanos, expire);
	}

	private static void each(TimedRequests requests, long nowNanos, Consumer<PolicyTicket> action) {
		PolicyTicket ticket = requests.pollDue(nowNanos);
		while (ticket != null) {
			action.accept(ticket);
			ticket = requests.pollDue(nowNanos);
		}
	}

}
