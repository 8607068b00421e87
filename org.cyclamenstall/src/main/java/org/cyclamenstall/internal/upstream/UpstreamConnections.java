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

	private static final Duration MAXIMUM_IDLE = Duration.ofSeconds(5);

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
	 * Gets a connection; exactly one of the two callbacks is called, on the I/O thread.
	 * @param upstream the upstream
	 * @param reuse whether an idle connection may be used
	 * @param timeout the longest time to connect
	 * @param thread the current I/O thread
	 * @param connected takes the connection
	 * @param failed is told why there is none
	 */
	public void connect(ListedHost upstream, boolean reuse, Duration timeout, XnioIoThread thread,
			Consumer<ClientConnection> connected, Consumer<IOException> failed) {
		InetSocketAddress address = new InetSocketAddress(upstream.address(), upstream.port());
		ClientConnection idle = reuse ? takeIdle(thread, address) : null;
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
	 * @param thread the current I/O thread
	 */
	public void release(ListedHost upstream, ClientConnection connection, XnioIoThread thread) {
		InetSocketAddress address = new InetSocketAddress(upstream.address(), upstream.port());
		Deque<IdleConnection> idle = idle(thread, address);
		if (!connection.isOpen() || idle.size() >= MAXIMUM_IDLE_PER_UPSTREAM) {
			IoUtils.safeClose(connection);
			return;
		}
		idle.push(new IdleConnection(connection, this.clock.nanoTime()));
	}

	private @Nullable ClientConnection takeIdle(XnioIoThread thread, InetSocketAddress address) {
		Deque<IdleConnection> idle = idle(thread, address);
		for (IdleConnection next = idle.poll(); next != null; next = idle.poll()) {
			if (next.connection().isOpen() && this.clock.nanoTime() - next.sinceNanos() < MAXIMUM_IDLE.toNanos()) {
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
	 */
	private record IdleConnection(ClientConnection connection, long sinceNanos) {

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
