package org.cyclamenstall.internal.daemon;

import java.time.Duration;

import org.cyclamenstall.internal.gateway.CallerServer;
import org.cyclamenstall.kernel.MonotonicClock;

/**
 * Ends the service of callers before the process ends: every request that was received
 * gets a response first. The virtual machine may take some hundred milliseconds to end,
 * in which no thread runs, so no connection may be left from which a request is expected.
 * Not thread-safe.
 */
final class CallerShutdown {

	private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

	/**
	 * Time after the listening socket was closed in which the requests on the last
	 * accepted connections arrive.
	 */
	private static final Duration LAST_REQUESTS_TIME = Duration.ofMillis(200);

	/** Time in which I/O threads close the idle connections. */
	private static final Duration CLOSE_TIME = Duration.ofMillis(50);

	private final CallerServer callers;

	private final ShutdownSignal signal;

	private final MonotonicClock clock;

	/**
	 * Creates a shutdown.
	 * @param callers the server of the callers
	 * @param signal the shutdown signal; each wait is aborted when it is raised a second
	 * time
	 * @param clock the monotonic clock
	 */
	CallerShutdown(CallerServer callers, ShutdownSignal signal, MonotonicClock clock) {
		this.callers = callers;
		this.signal = signal;
		this.clock = clock;
	}

	/**
	 * Closes the listening socket, gives each open request a final response, and closes
	 * the connections. New requests must be refused by then.
	 * @param endNanos the time on the monotonic clock at which it returns at the latest
	 * @return {@code false} if it was aborted by a second signal
	 */
	boolean run(long endNanos) {
		this.callers.stopListening();
		this.callers.endOpenRequests();
		if (!awaitOpenRequests(LAST_REQUESTS_TIME, endNanos)) {
			return false;
		}
		this.callers.closeIdleConnections();
		return awaitOpenRequests(CLOSE_TIME, endNanos);
	}

	private boolean awaitOpenRequests(Duration minimum, long endNanos) {
		long minimumNanos = this.clock.nanoTime() + minimum.toNanos();
		while (this.clock.nanoTime() - minimumNanos < 0 || this.callers.openRequests() > 0) {
			if (this.clock.nanoTime() - endNanos >= 0) {
				return true;
			}
			if (this.signal.awaitSecond(POLL_INTERVAL)) {
				return false;
			}
		}
		return true;
	}

}
