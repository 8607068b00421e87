package org.cyclamenstall.internal.policy;

import java.util.function.Consumer;

/**
 * Holds the timers of waiting requests: deadlines and the ends of retry delays. The
 * timers of a request are cancelled when it stops waiting. Not thread-safe: guarded by
 * the controller's lock.
 */
final class QueueTimers {

	private final TimerQueue deadlines = new TimerQueue();

	private final TimerQueue retryDelays = new TimerQueue();

	/**
	 * Starts the deadline timer of a request, if it has a deadline.
	 * @param ticket the ticket of the request
	 */
	void scheduleDeadline(PolicyTicket ticket) {
		if (ticket.hasDeadline()) {
			this.deadlines.put(ticket, ticket.deadlineNanos());
		}
	}

	void scheduleRequeue(PolicyTicket ticket, long atNanos) {
		this.retryDelays.put(ticket, atNanos);
	}

	void cancel(PolicyTicket ticket) {
		this.deadlines.remove(ticket);
		this.retryDelays.remove(ticket);
	}

	/**
	 * Removes all timers that are due and runs their actions, first for retry delays and
	 * then for deadlines.
	 * @param nowNanos the time on the monotonic clock
	 * @param requeue the action for each request whose retry delay has elapsed
	 * @param expire the action for each request whose deadline has passed
	 */
	void runDue(long nowNanos, Consumer<PolicyTicket> requeue, Consumer<PolicyTicket> expire) {
		pollEach(this.retryDelays, nowNanos, requeue);
		pollEach(this.deadlines, nowNanos, expire);
	}

	private static void pollEach(TimerQueue queue, long nowNanos, Consumer<PolicyTicket> action) {
		PolicyTicket ticket = queue.pollDue(nowNanos);
		while (ticket != null) {
			action.accept(ticket);
			ticket = queue.pollDue(nowNanos);
		}
	}

}
