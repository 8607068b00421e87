package org.cyclamenstall.internal.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import org.cyclamenstall.catalogue.CatalogueReplica;
import org.cyclamenstall.claims.ClaimRegistry;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.internal.http.BodyBudget;
import org.cyclamenstall.internal.http.ReadTurns;
import org.cyclamenstall.internal.http.TurnLimitedSource;
import org.cyclamenstall.internal.upstream.UpstreamConnectionPool;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.kernel.Service;
import org.cyclamenstall.policy.TrafficController;
import org.cyclamenstall.settings.CallerSettings;
import org.cyclamenstall.settings.DaemonSettings;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * HTTP server for callers, the clients whose requests the daemon routes. Thread-safe.
 */
public final class CallerServer implements Service {

	private static final int BUFFER_BYTES = 16_384;

	private static final long UNLIMITED = -1;

	private static final int CLAIM_THREADS = 16;

	private static final int LISTEN_BACKLOG = 1_000;

	private static final OptionMap WORKER_OPTIONS = OptionMap.builder()
		.set(Options.WORKER_IO_THREADS, ioThreads())
		.set(Options.WORKER_TASK_CORE_THREADS, 1)
		.set(Options.WORKER_TASK_MAX_THREADS, 4)
		.set(Options.WORKER_NAME, "callers")
		.getMap();

	private final CallerSettings settings;

	private final ReadTurns readTurns;

	private final OpenRequests openRequests = new OpenRequests();

	private final DefaultByteBufferPool bufferPool = new DefaultByteBufferPool(true, BUFFER_BYTES);

	private final ExecutorService blockingExecutor = Executors.newFixedThreadPool(CLAIM_THREADS,
			CallerServer::newClaimThread);

	private final HttpHandler handler;

	private final IdleConnections idleConnections;

	private final Map<InetSocketAddress, HttpHandler> additionalPorts = new LinkedHashMap<>();

	private volatile boolean closeAfterResponse;

	private @Nullable XnioWorker worker;

	private @Nullable HttpOpenListener callerListener;

	private @Nullable AcceptingChannel<StreamConnection> acceptingChannel;

	/**
	 * Creates a server that speaks the native chat-completion protocol and records no
	 * events.
	 * @param settings the settings of the daemon
	 * @param incarnation the start time of the daemon, in milliseconds since the epoch
	 * @param catalogue the active catalogue
	 * @param controller grants and refuses attempts
	 * @param claims acquires idempotency claims
	 * @param clock the monotonic clock
	 * @param registry the registry for the metrics of the server
	 */
	public CallerServer(DaemonSettings settings, long incarnation, CatalogueReplica catalogue,
			TrafficController controller, ClaimRegistry claims, MonotonicClock clock, PrometheusRegistry registry) {
		this(settings, incarnation, catalogue, controller, claims, clock, registry, EventLog.NONE);
	}

	/**
	 * Creates a server that speaks the native chat-completion protocol.
	 * @param settings the settings of the daemon
	 * @param incarnation the start time of the daemon, in milliseconds since the epoch
	 * @param catalogue the active catalogue
	 * @param controller grants and refuses attempts
	 * @param claims acquires idempotency claims
	 * @param clock the monotonic clock
	 * @param registry the registry for the metrics of the server
	 * @param events receives the events of requests
	 */
	public CallerServer(DaemonSettings settings, long incarnation, CatalogueReplica catalogue,
			TrafficController controller, ClaimRegistry claims, MonotonicClock clock, PrometheusRegistry registry,
			EventLog events) {
		this(settings.callers(), new CatalogueCallerProtocol(settings, incarnation, catalogue, clock), controller,
				claims, clock, registry, events);
	}

	/**
	 * Creates a server.
	 * @param settings the settings of the listening socket
	 * @param protocol the protocol that callers use
	 * @param controller grants and refuses attempts
	 * @param claims acquires idempotency claims
	 * @param clock the monotonic clock
	 * @param registry the registry for the metrics of the server
	 * @param events receives the events of requests
	 */
	public CallerServer(CallerSettings settings, CallerProtocol protocol, TrafficController controller,
			ClaimRegistry claims, MonotonicClock clock, PrometheusRegistry registry, EventLog events) {
		this.settings = settings;
		this.readTurns = new ReadTurns(clock);
		GatewayServices services = new GatewayServices(controller, claims,
				new UpstreamConnectionPool(this.bufferPool, this.readTurns, clock), protocol.writer(),
				new GatewayMetrics(registry, this.openRequests), this.openRequests, BodyBudget.ofRequests(), events,
				clock, this.blockingExecutor);
		Duration requestReadTimeout = Duration.ofSeconds(settings.requestReadSeconds());
		this.idleConnections = new IdleConnections(clock,
				Duration.ofSeconds(settings.idleSeconds()).plus(requestReadTimeout));
		this.handler = new CallerHandler(protocol, services, this.idleConnections, () -> this.closeAfterResponse,
				requestReadTimeout);
	}

	/**
	 * Adds a listening socket that is served by the same threads. Must be called before
	 * the start.
	 * @param address the address to listen on
	 * @param portHandler handles requests without blocking
	 * @return this server
	 */
	public CallerServer withPort(InetSocketAddress address, HttpHandler portHandler) {
		this.additionalPorts.put(address, portHandler);
		return this;
	}

	@Override
	public void start() {
		try {
			XnioWorker startedWorker = Xnio.getInstance().createWorker(WORKER_OPTIONS);
			this.worker = startedWorker;
			for (Map.Entry<InetSocketAddress, HttpHandler> port : this.additionalPorts.entrySet()) {
				HttpOpenListener portListener = new HttpOpenListener(this.bufferPool);
				portListener.setRootHandler(port.getValue());
				listen(startedWorker, port.getKey(), portListener);
			}
			InetSocketAddress address = new InetSocketAddress(this.settings.address(), this.settings.port());
			HttpOpenListener openListener = new HttpOpenListener(this.bufferPool, serverOptions(
					this.settings.maximumHeaderBytes(), Duration.ofSeconds(this.settings.requestReadSeconds())));
			openListener.setRootHandler(this.handler);
			this.callerListener = openListener;
			this.acceptingChannel = listen(startedWorker, address, (connection) -> {
				this.idleConnections.onIdle(connection);
				openListener.handleEvent(connection);
			});
			this.idleConnections.start(startedWorker.getIoThread());
		}
		catch (IOException ex) {
			throw new RouterException(ErrorKind.SETTINGS_INVALID,
					"cannot listen on " + this.settings.address() + ":" + this.settings.port(), ex);
		}
	}

	/**
	 * Sets the limits of connections. The limits of the request headers apply to
	 * connections that are opened from now on, the idle timeout to open connections as
	 * well. Has no effect before the start.
	 * @param headerBytes the maximum size of the request headers, in bytes
	 * @param headerTimeout the maximum time to receive the request headers
	 * @param idleTimeout the maximum time between a response and the start of the next
	 * request
	 */
	public void applyConnectionLimits(int headerBytes, Duration headerTimeout, Duration idleTimeout) {
		if (this.callerListener != null) {
			this.callerListener.setUndertowOptions(serverOptions(headerBytes, headerTimeout));
			this.idleConnections.setLimit(idleTimeout.plus(headerTimeout));
		}
	}

	private AcceptingChannel<StreamConnection> listen(XnioWorker startedWorker, InetSocketAddress address,
			ChannelListener<StreamConnection> openListener) throws IOException {
		ChannelListener<StreamConnection> limitingListener = (connection) -> {
			TurnLimitedSource.attachTo(connection, this.readTurns);
			openListener.handleEvent(connection);
		};
		AcceptingChannel<StreamConnection> channel = startedWorker.createStreamConnectionServer(address,
				ChannelListeners.openListenerAdapter(limitingListener), socketOptions(this.settings));
		channel.resumeAccepts();
		return channel;
	}

	/**
	 * Returns the address of the listening socket.
	 * @return the address
	 * @throws IllegalStateException if the server is not started
	 */
	public InetSocketAddress address() {
		if (this.acceptingChannel == null) {
			throw new IllegalStateException("The server is not started");
		}
		return this.acceptingChannel.getLocalAddress(InetSocketAddress.class);
	}

	/**
	 * Closes each caller connection after its next response, so that the caller opens a
	 * new one.
	 */
	public void closeConnectionsAfterResponses() {
		this.closeAfterResponse = true;
	}

	/**
	 * Closes the listening socket. Open connections continue to be served.
	 */
	public void stopListening() {
		IoUtils.safeClose(this.acceptingChannel);
	}

	/**
	 * Gives each open request its final response, which states whether the request may
	 * have been executed. Returns before the responses are sent.
	 */
	public void endOpenRequests() {
		this.openRequests.endAll();
	}

	/**
	 * Closes the connections on which no request is processed. Returns before they are
	 * closed.
	 */
	public void closeIdleConnections() {
		this.idleConnections.closeAll();
	}

	/**
	 * Returns the number of requests whose response is not complete.
	 * @return the number of open requests
	 */
	public int openRequests() {
		return this.openRequests.count();
	}

	@Override
	public void close() {
		stopListening();
		if (this.worker != null) {
			this.worker.shutdownNow();
		}
		this.blockingExecutor.shutdownNow();
	}

	// The handler limits the bodies. A limit of the server would also end the discarding
	// of the rest of a body whose request was refused, and the connection with it.
	private static OptionMap serverOptions(int headerBytes, Duration headerTimeout) {
		return OptionMap.builder()
			.set(UndertowOptions.MAX_ENTITY_SIZE, UNLIMITED)
			.set(UndertowOptions.MAX_HEADER_SIZE, headerBytes)
			.set(UndertowOptions.REQUEST_PARSE_TIMEOUT, positiveMillis(headerTimeout))
			.getMap();
	}

	// A timeout of zero milliseconds would end every wait at once.
	private static int positiveMillis(Duration timeout) {
		return (int) Math.min(Integer.MAX_VALUE, Math.max(1, timeout.toMillis()));
	}

	private static OptionMap socketOptions(CallerSettings settings) {
		return OptionMap.builder()
			.set(Options.TCP_NODELAY, true)
			.set(Options.REUSE_ADDRESSES, true)
			.set(Options.BACKLOG, LISTEN_BACKLOG)
			.set(Options.CONNECTION_HIGH_WATER, settings.maximumConnections())
			.set(Options.CONNECTION_LOW_WATER, settings.maximumConnections())
			.getMap();
	}

	private static int ioThreads() {
		int processors = Runtime.getRuntime().availableProcessors();
		return (processors == 1) ? 1 : Math.max(2, processors / 2);
	}

	private static Thread newClaimThread(Runnable task) {
		Thread thread = new Thread(task, "claims");
		thread.setDaemon(true);
		return thread;
	}

}
