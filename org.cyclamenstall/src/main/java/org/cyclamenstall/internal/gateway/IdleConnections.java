package org.cyclamenstall.internal.gateway;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.cyclamenstall.kernel.MonotonicClock;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Closes caller connections that have had no request for longer than the limit in force,
 * and all of them before the process ends. The limit applies to all connections, whenever
 * they were opened.
 * <p>
 * Invariants: a connection is closed only on its own I/O thread, never while a request is
 * processed on it, and before the process ends never before the limit has passed.
 * Thread-safe.
 */
final class IdleConnections {

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

	/** Start of the idle time of each connection without a request. */
	private final Map<StreamConnection, Long> idleSinceNanos = new ConcurrentHashMap<>();

	private final MonotonicClock clock;

	private volatile Duration limit;

	/**
	 * Creates an empty set.
	 * @param clock the monotonic clock
	 * @param limit the initial limit
	 */
	IdleConnections(MonotonicClock clock, Duration limit) {
		this.clock = clock;
		this.limit = limit;
	}

	/**
	 * Starts checking the connections periodically.
	 * @param thread the thread that checks
	 */
	void start(XnioIoThread thread) {
		thread.executeAtInterval(this::check, CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Sets the limit, which takes effect on open connections at once.
	 * @param newLimit the maximum time without a request
	 */
	void setLimit(Duration newLimit) {
		this.limit = newLimit;
	}

	/**
	 * Records that a connection has no request. Called on its I/O thread.
	 * @param connection the connection
	 */
	void onIdle(StreamConnection connection) {
		this.idleSinceNanos.put(connection, this.clock.nanoTime());
	}

	/**
	 * Records that the headers of a request were received. Called on the I/O thread of
	 * the connection.
	 * @param connection the connection
	 */
	void onRequest(StreamConnection connection) {
		this.idleSinceNanos.remove(connection);
	}

	/**
	 * Closes all connections without a request, each on its own I/O thread.
	 */
	void closeAll() {
		this.idleSinceNanos.forEach((connection, sinceNanos) -> connection.getIoThread()
			.execute(() -> closeIfIdleSince(connection, sinceNanos)));
	}

	private void check() {
		long nowNanos = this.clock.nanoTime();
		long limitNanos = this.limit.toNanos();
		this.idleSinceNanos.forEach((connection, sinceNanos) -> {
			if (!connection.isOpen()) {
				this.idleSinceNanos.remove(connection, sinceNanos);
			}
			else if (nowNanos - sinceNanos >= limitNanos) {
				connection.getIoThread().execute(() -> closeIfIdleSince(connection, sinceNanos));
			}
		});
	}

	private void closeIfIdleSince(StreamConnection connection, Long sinceNanos) {
		if (this.idleSinceNanos.remove(connection, sinceNanos)) {
			IoUtils.safeClose(connection);
		}
	}

}
