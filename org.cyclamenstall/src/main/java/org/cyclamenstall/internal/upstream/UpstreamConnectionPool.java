package org.cyclamenstall.internal.upstream;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.http.BodyBudget;
import org.cyclamenstall.internal.http.ClientConnections;
import org.cyclamenstall.internal.http.LimitedHttpClient;
import org.cyclamenstall.internal.http.ReadTurns;
import org.cyclamenstall.kernel.MonotonicClock;
import org.jspecify.annotations.Nullable;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Opens connections to upstreams and pools idle ones, separately for each I/O thread. A
 * connection is used only on the I/O thread that opened it. Thread-safe, provided that
 * each call is made on the I/O thread that is passed to it.
 */
public final class UpstreamConnectionPool {

	/**
	 * Maximum time that a connection may have been idle when it is reused. Older
	 * connections are closed when their thread next requests a pooled connection to the
	 * same upstream.
	 */
	public static final Duration MAXIMUM_IDLE_TIME = Duration.ofSeconds(5);

	// Applies to each I/O thread separately.
	private static final int MAXIMUM_IDLE_CONNECTIONS_PER_UPSTREAM = 64;

	private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

	private final Map<XnioIoThread, Map<InetSocketAddress, Deque<IdleConnection>>> idleByThread = new ConcurrentHashMap<>();

	private final ByteBufferPool buffers;

	private final BodyBudget bodyBudget = BodyBudget.ofResponses();

	private final ReadTurns readTurns;

	private final MonotonicClock clock;

	/**
	 * Creates a pool.
	 * @param buffers the buffer pool for new connections
	 * @param readTurns the turns of the readers of the I/O threads
	 * @param clock the clock that measures the age of idle connections
	 */
	public UpstreamConnectionPool(ByteBufferPool buffers, ReadTurns readTurns, MonotonicClock clock) {
		this.buffers = buffers;
		this.readTurns = readTurns;
		this.clock = clock;
	}

	/**
	 * Returns the clock that also measures the timeouts of attempts.
	 * @return the clock
	 */
	MonotonicClock clock() {
		return this.clock;
	}

	/**
	 * Returns the budget of the bodies of buffered responses.
	 * @return the budget
	 */
	BodyBudget bodyBudget() {
		return this.bodyBudget;
	}

	/**
	 * Provides a pooled or new connection. Exactly one of the two callbacks is called, on
	 * the I/O thread; for a pooled connection, before this method returns.
	 * @param upstream the upstream
	 * @param maximumIdle the maximum time that a pooled connection may have been idle;
	 * zero for a new connection
	 * @param timeout the maximum time to connect
	 * @param thread the current I/O thread
	 * @param onConnected receives the connection
	 * @param onFailure receives the cause if no connection could be established
	 */
	public void acquire(ListedHost upstream, Duration maximumIdle, Duration timeout, XnioIoThread thread,
			Consumer<ClientConnection> onConnected, Consumer<IOException> onFailure) {
		InetSocketAddress address = new InetSocketAddress(upstream.address(), upstream.port());
		ClientConnection idle = maximumIdle.isZero() ? null : pollIdle(thread, address, maximumIdle.toNanos());
		if (idle != null) {
			onConnected.accept(idle);
			return;
		}
		ConnectCallback connectCallback = new ConnectCallback(onConnected, onFailure);
		connectCallback.timer = thread.executeAfter(connectCallback::onTimeout, timeout.toMillis(),
				TimeUnit.MILLISECONDS);
		LimitedHttpClient.connect(connectCallback, URI.create("http://" + hostPart(upstream) + ":" + upstream.port()),
				thread, this.buffers, OPTIONS, this.readTurns);
	}

	/**
	 * Returns a connection to the pool, or closes it if the pool has too many idle
	 * connections to the upstream. The connection must be unused, or its last response
	 * must have been read completely.
	 * @param upstream the upstream
	 * @param connection the connection
	 * @param idleTimeout how long the upstream keeps an idle connection open, or
	 * {@code null} if unknown; the connection is reused only in the first half of it
	 * @param thread the current I/O thread
	 */
	public void release(ListedHost upstream, ClientConnection connection, @Nullable Duration idleTimeout,
			XnioIoThread thread) {
		InetSocketAddress address = new InetSocketAddress(upstream.address(), upstream.port());
		Deque<IdleConnection> idle = idleConnections(thread, address);
		if (!connection.isOpen() || idle.size() >= MAXIMUM_IDLE_CONNECTIONS_PER_UPSTREAM) {
			ClientConnections.abort(connection);
			return;
		}
		long maximumIdleNanos = (idleTimeout != null) ? Math.min(MAXIMUM_IDLE_TIME.toNanos(), idleTimeout.toNanos() / 2)
				: MAXIMUM_IDLE_TIME.toNanos();
		idle.push(new IdleConnection(connection, this.clock.nanoTime(), maximumIdleNanos));
	}

	// Removes the most recently used connection, unless it was idle for longer than
	// requested, and closes connections that have expired.
	private @Nullable ClientConnection pollIdle(XnioIoThread thread, InetSocketAddress address,
			long requestedIdleNanos) {
		Deque<IdleConnection> idle = idleConnections(thread, address);
		long now = this.clock.nanoTime();
		while (!idle.isEmpty() && !idle.peekLast().isUsable(now)) {
			ClientConnections.abort(idle.pollLast().connection());
		}
		for (IdleConnection next = idle.peek(); next != null; next = idle.peek()) {
			if (now - next.idleSinceNanos() > requestedIdleNanos) {
				return null;
			}
			idle.poll();
			if (next.isUsable(now)) {
				return next.connection();
			}
			ClientConnections.abort(next.connection());
		}
		return null;
	}

	private Deque<IdleConnection> idleConnections(XnioIoThread thread, InetSocketAddress address) {
		return this.idleByThread.computeIfAbsent(thread, (key) -> new HashMap<>())
			.computeIfAbsent(address, (key) -> new ArrayDeque<>());
	}

	private static String hostPart(ListedHost upstream) {
		return upstream.address().contains(":") ? "[" + upstream.address() + "]" : upstream.address();
	}

	/**
	 * Connection without a request.
	 *
	 * @param connection the connection
	 * @param idleSinceNanos when it was returned to the pool, on the monotonic clock
	 * @param maximumIdleNanos how long it may stay idle
	 */
	private record IdleConnection(ClientConnection connection, long idleSinceNanos, long maximumIdleNanos) {

		boolean isUsable(long nowNanos) {
			return this.connection.isOpen() && nowNanos - this.idleSinceNanos < this.maximumIdleNanos;
		}

	}

	/**
	 * Callback for one connection attempt. A connection that is established after the
	 * timeout is closed unused. Used on one I/O thread.
	 */
	private static final class ConnectCallback implements ClientCallback<ClientConnection> {

		private final Consumer<ClientConnection> onConnected;

		private final Consumer<IOException> onFailure;

		private XnioExecutor.@Nullable Key timer;

		private boolean done;

		ConnectCallback(Consumer<ClientConnection> onConnected, Consumer<IOException> onFailure) {
			this.onConnected = onConnected;
			this.onFailure = onFailure;
		}

		@Override
		public void completed(ClientConnection connection) {
			if (finish()) {
				this.onConnected.accept(connection);
			}
			else {
				ClientConnections.abort(connection);
			}
		}

		@Override
		public void failed(IOException ex) {
			if (finish()) {
				this.onFailure.accept(ex);
			}
		}

		void onTimeout() {
			if (finish()) {
				this.onFailure.accept(new IOException("connection timed out"));
			}
		}

		private boolean finish() {
			if (this.done) {
				return false;
			}
			this.done = true;
			if (this.timer != null) {
				this.timer.remove();
			}
			return true;
		}

	}

}
