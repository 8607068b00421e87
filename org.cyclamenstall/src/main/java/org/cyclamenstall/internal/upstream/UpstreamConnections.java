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
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.kernel.MonotonicClock;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Opens connections to upstreams and keeps idle ones for reuse, apart for each I/O
 * thread. A connection is used only on the I/O thread that opened it. Thread-safe, as
 * long as each call is made on the I/O thread that it names.
 */
public final class UpstreamConnections {

	/** Bounds how long a connection without a request is kept. */
	public static final Duration MAXIMUM_IDLE = Duration.ofSeconds(5);

	private static final int MAXIMUM_IDLE_PER_UPSTREAM = 64;

	private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

	private final UndertowClient client = UndertowClient.getInstance();

	private final Map<XnioIoThread, Map<InetSocketAddress, Deque<IdleConnection>>> idleByThread = new ConcurrentHashMap<>();

	private final ByteBufferPool buffers;

	private final MonotonicClock clock;

	/**
	 * Creates a pool.
	 * @param buffers the buffers for new connections
	 * @param clock the clock for the age of idle connections
	 */
	public UpstreamConnections(ByteBufferPool buffers, MonotonicClock clock) {
		this.buffers = buffers;
		this.clock = clock;
	}

	/**
	 * Returns the clock that bounds the time of attempts.
	 * @return the clock
	 */
	MonotonicClock clock() {
		return this.clock;
	}

	/**
	 * Gets a connection; exactly one of the two callbacks is called, on the I/O thread.
	 * @param upstream the upstream
	 * @param maximumIdle the longest time that a kept connection may have been idle; zero
	 * for a new connection
	 * @param timeout the longest time to connect
	 * @param thread the current I/O thread
	 * @param connected takes the connection
	 * @param failed is told why there is none
	 */
	public void connect(ListedHost upstream, Duration maximumIdle, Duration timeout, XnioIoThread thread,
			Consumer<ClientConnection> connected, Consumer<IOException> failed) {
		InetSocketAddress address = new InetSocketAddress(upstream.address(), upstream.port());
		ClientConnection idle = maximumIdle.isZero() ? null : takeIdle(thread, address, maximumIdle.toNanos());
		if (idle != null) {
			connected.accept(idle);
			return;
		}
		Connecting connecting = new Connecting(connected, failed);
		connecting.timer = thread.executeAfter(connecting::timedOut, timeout.toMillis(), TimeUnit.MILLISECONDS);
		this.client.connect(connecting, URI.create("http://" + hostPart(upstream) + ":" + upstream.port()), thread,
				this.buffers, OPTIONS);
	}

	/**
	 * Keeps a connection whose last answer was read whole.
	 * @param upstream the upstream
	 * @param connection the connection
	 * @param idleTime how long the upstream keeps it, or {@code null} if that is not
	 * known
	 * @param thread the current I/O thread
	 */
	public void release(ListedHost upstream, ClientConnection connection, @Nullable Duration idleTime,
			XnioIoThread thread) {
		InetSocketAddress address = new InetSocketAddress(upstream.address(), upstream.port());
		Deque<IdleConnection> idle = idle(thread, address);
		if (!connection.isOpen() || idle.size() >= MAXIMUM_IDLE_PER_UPSTREAM) {
			IoUtils.safeClose(connection);
			return;
		}
		long keptNanos = (idleTime != null) ? Math.min(MAXIMUM_IDLE.toNanos(), idleTime.toNanos() / 2)
				: MAXIMUM_IDLE.toNanos();
		idle.push(new IdleConnection(connection, this.clock.nanoTime(), keptNanos));
	}

	// Takes the connection that was used last, and closes those that are too old for any
	// request.
	private @Nullable ClientConnection takeIdle(XnioIoThread thread, InetSocketAddress address, long maximumNanos) {
		Deque<IdleConnection> idle = idle(thread, address);
		long now = this.clock.nanoTime();
		while (!idle.isEmpty() && !idle.peekLast().isUsable(now)) {
			IoUtils.safeClose(idle.pollLast().connection());
		}
		for (IdleConnection next = idle.peek(); next != null; next = idle.peek()) {
			if (now - next.sinceNanos() > maximumNanos) {
				return null;
			}
			idle.poll();
			if (next.isUsable(now)) {
				return next.connection();
			}
			IoUtils.safeClose(next.connection());
		}
		return null;
	}

	private Deque<IdleConnection> idle(XnioIoThread thread, InetSocketAddress address) {
		return this.idleByThread.computeIfAbsent(thread, (key) -> new HashMap<>())
			.computeIfAbsent(address, (key) -> new ArrayDeque<>());
	}

	private static String hostPart(ListedHost upstream) {
		return upstream.address().contains(":") ? "[" + upstream.address() + "]" : upstream.address();
	}

	/**
	 * Holds a connection without a request.
	 *
	 * @param connection the connection
	 * @param sinceNanos when its last request ended, on the monotonic clock
	 * @param keptNanos how long it may be kept
	 */
	private record IdleConnection(ClientConnection connection, long sinceNanos, long keptNanos) {

		boolean isUsable(long nowNanos) {
			return this.connection.isOpen() && nowNanos - this.sinceNanos < this.keptNanos;
		}

	}

	/**
	 * Waits for one connection; a connection that comes after the timeout is closed
	 * unused. Used on one I/O thread.
	 */
	private static final class Connecting implements ClientCallback<ClientConnection> {

		private final Consumer<ClientConnection> connected;

		private final Consumer<IOException> failed;

		private XnioExecutor.@Nullable Key timer;

		private boolean done;

		Connecting(Consumer<ClientConnection> connected, Consumer<IOException> failed) {
			this.connected = connected;
			this.failed = failed;
		}

		@Override
		public void completed(ClientConnection connection) {
			if (finish()) {
				this.connected.accept(connection);
			}
			else {
				IoUtils.safeClose(connection);
			}
		}

		@Override
		public void failed(IOException ex) {
			if (finish()) {
				this.failed.accept(ex);
			}
		}

		void timedOut() {
			if (finish()) {
				this.failed.accept(new IOException("connecting took too long"));
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
