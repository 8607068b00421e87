package org.cyclamenstall.standin.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * HTTP server of a stand-in. It listens on a service port, which can be made unavailable,
 * and on a control port for control requests only. All servers of a process share their
 * I/O threads. Thread-safe.
 */
public final class StandinServer implements AutoCloseable {

	private static final int IO_THREADS = 4;

	private static final int TASK_THREADS = 4;

	private final String address;

	private final HttpHandler serviceHandler;

	private final ControlRoutes routes;

	private final Undertow controlServer;

	private final int controlPort;

	private final Set<ServerConnection> serviceConnections = ConcurrentHashMap.newKeySet();

	private final int port;

	private @Nullable Undertow serviceServer;

	private volatile Availability availability = Availability.UP;

	/**
	 * Creates a server and starts to listen on both ports.
	 * @param address the IP address to listen on
	 * @param port the service port; 0 selects a free port
	 * @param controlPort the control port; 0 selects a free port
	 * @param serviceHandler the handler of service requests
	 * @param routes the control routes, served on both ports
	 */
	public StandinServer(String address, int port, int controlPort, HttpHandler serviceHandler, ControlRoutes routes) {
		this.address = address;
		this.serviceHandler = serviceHandler;
		this.routes = routes;
		this.serviceServer = listen(port, this::serve);
		this.port = boundPort(this.serviceServer);
		this.controlServer = listen(controlPort, routes);
		this.controlPort = boundPort(this.controlServer);
	}

	/**
	 * Returns the address that both ports are bound to.
	 * @return the IP address
	 */
	public String address() {
		return this.address;
	}

	/**
	 * Returns the service port.
	 * @return the bound port
	 */
	public int port() {
		return this.port;
	}

	/**
	 * Returns the control port.
	 * @return the bound port
	 */
	public int controlPort() {
		return this.controlPort;
	}

	/**
	 * Sets the availability of the service port. The control port stays available.
	 * @param newAvailability the new availability
	 */
	public synchronized void setAvailability(Availability newAvailability) {
		this.availability = newAvailability;
		if (newAvailability == Availability.REFUSING) {
			stopService();
		}
		else if (this.serviceServer == null) {
			this.serviceServer = listen(this.port, this::serve);
		}
		if (newAvailability == Availability.CLOSING) {
			closeConnections();
		}
	}

	/**
	 * Closes all open connections to the service port immediately.
	 */
	public void closeConnections() {
		this.serviceConnections.forEach(IoUtils::safeClose);
	}

	@Override
	public synchronized void close() {
		stopService();
		this.controlServer.stop();
	}

	private void serve(HttpServerExchange exchange) throws Exception {
		ServerConnection connection = exchange.getConnection();
		if (this.serviceConnections.add(connection)) {
			connection.addCloseListener(this.serviceConnections::remove);
		}
		if (exchange.getRequestPath().startsWith(ControlRoutes.PREFIX)) {
			this.routes.handleRequest(exchange);
		}
		else if (this.availability == Availability.UP) {
			this.serviceHandler.handleRequest(exchange);
		}
		else {
			IoUtils.safeClose(connection);
		}
	}

	private void stopService() {
		Undertow server = this.serviceServer;
		this.serviceServer = null;
		if (server != null) {
			server.stop();
		}
		closeConnections();
	}

	private Undertow listen(int listenPort, HttpHandler handler) {
		Undertow server = Undertow.builder()
			.setWorker(SharedWorker.WORKER)
			.addHttpListener(listenPort, this.address)
			.setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
			.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, -1)
			.setHandler(handler)
			.build();
		server.start();
		return server;
	}

	private static int boundPort(Undertow server) {
		return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
	}

	private static final class SharedWorker {

		private static final XnioWorker WORKER = create();

		private SharedWorker() {
		}

		private static XnioWorker create() {
			try {
				return Xnio.getInstance()
					.createWorker(OptionMap.builder()
						.set(Options.WORKER_NAME, "standin")
						.set(Options.WORKER_IO_THREADS, IO_THREADS)
						.set(Options.WORKER_TASK_CORE_THREADS, TASK_THREADS)
						.set(Options.WORKER_TASK_MAX_THREADS, TASK_THREADS)
						.set(Options.THREAD_DAEMON, true)
						.set(Options.TCP_NODELAY, true)
						.getMap());
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

	}

}
