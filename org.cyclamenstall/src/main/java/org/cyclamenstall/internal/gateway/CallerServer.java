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
import org.cyclamenstall.internal.upstream.UpstreamConnections;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.kernel.Service;
import org.cyclamenstall.policy.TrafficController;
import org.cyclamenstall.settings.CallerSettings;
import org.cyclamenstall.settings.DaemonSettings;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Listens on the callers' port. Thread-safe.
 */
public final class CallerServer implements Service {

	private static final int BUFFER_BYTES = 16_384;

	private static final int CLAIM_THREADS = 16;

	private static final int MILLIS_PER_SECOND = 1_000;

	private static final int LISTEN_BACKLOG = 1_000;

	private static final OptionMap WORKER_OPTIONS = OptionMap.builder()
		.set(Options.WORKER_IO_THREADS, ioThreads())
		.set(Options.WORKER_TASK_CORE_THREADS, 1)
		.set(Options.WORKER_TASK_MAX_THREADS, 4)
		.set(Options.WORKER_NAME, "callers")
		.getMap();

	private final CallerSettings settings;

	private final GatewayMetrics metrics;

	private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);

	private final ExecutorService blockingWork = Executors.newFixedThreadPool(CLAIM_THREADS, CallerServer::thread);

	private final HttpHandler handler;

	private final Map<InetSocketAddress, HttpHandler> otherPorts = new LinkedHashMap<>();

	private volatile boolean closesConnections;

	private @Nullable XnioWorker worker;

	private @Nullable HttpOpenListener callers;

	private @Nullable AcceptingChannel<StreamConnection> listening;

	/**
	 * Creates a server that speaks the product's own protocol.
	 * @param settings the settings of the daemon
	 * @param incarnation the start of the daemon, in milliseconds since the epoch
	 * @param catalogue the catalogue in force
	 * @param controller decides on requests
	 * @param claims claims named requests
	 * @param clock the monotonic clock
	 * @param registry takes the metrics
	 */
	public CallerServer(DaemonSettings settings, long incarnation, CatalogueReplica catalogue,
			TrafficController controller, ClaimRegistry claims, MonotonicClock clock, PrometheusRegistry registry) {
		this(settings, incarnation, catalogue, controller, claims, clock, registry, EventLog.NONE);
	}

	/**
	 * Creates a server that speaks the product's own protocol and tells its events.
	 * @param settings the settings of the daemon
	 * @param incarnation the start of the daemon, in milliseconds since the epoch
	 * @param catalogue the catalogue in force
	 * @param controller decides on requests
	 * @param claims claims named requests
	 * @param clock the monotonic clock
	 * @param registry takes the metrics
	 * @param events takes the events
	 */
	public CallerServer(DaemonSettings settings, long incarnation, CatalogueReplica catalogue,
			TrafficController controller, ClaimRegistry claims, MonotonicClock clock, PrometheusRegistry registry,
			EventLog events) {
		this(settings.callers(), new CatalogueCallerProtocol(settings, incarnation, catalogue, clock), controller,
				claims, clock, registry, events);
	}

	/**
	 * Creates a server.
	 * @param settings the settings of the callers' port
	 * @param protocol the protocol to speak with callers
	 * @param controller decides on requests
	 * @param claims claims named requests
	 * @param clock the monotonic clock
	 * @param registry takes the metrics
	 * @param events takes the events
	 */
	public CallerServer(CallerSettings settings, CallerProtocol protocol, TrafficController controller,
			ClaimRegistry claims, MonotonicClock clock, PrometheusRegistry registry, EventLog events) {
		this.settings = settings;
		this.metrics = new GatewayMetrics(registry);
		GatewayServices services = new GatewayServices(controller, claims, new UpstreamConnections(this.buffers, clock),
				protocol.writer(), this.metrics, events, clock, this.blockingWork);
		this.handler = new CallerHandler(protocol, services, () -> this.closesConnections,
				Duration.ofSeconds(settings.requestReadSeconds()));
	}

	/**
	 * Adds a port that is served by the same threads; called before the start.
	 * @param address the address to listen on
	 * @param portHandler answers without blocking
	 * @return this server
	 */
	public CallerServer withPort(InetSocketAddress address, HttpHandler portHandler) {
		this.otherPorts.put(address, portHandler);
		return this;
	}

	@Override
	public void start() {
		try {
			XnioWorker started = Xnio.getInstance().createWorker(WORKER_OPTIONS);
			this.worker = started;
			for (Map.Entry<InetSocketAddress, HttpHandler> port : this.otherPorts.entrySet()) {
				listen(started, port.getKey(), new HttpOpenListener(this.buffers), port.getValue());
			}
			InetSocketAddress address = new InetSocketAddress(this.settings.address(), this.settings.port());
			HttpOpenListener openListener = new HttpOpenListener(this.buffers,
					serverOptions(this.settings.maximumHeaderBytes(), this.settings.requestReadSeconds(),
							this.settings.idleSeconds()));
			this.callers = openListener;
			this.listening = listen(started, address, openListener, this.handler);
		}
		catch (IOException ex) {
			throw new RouterException(ErrorKind.SETTINGS_INVALID,
					"cannot listen on " + this.settings.address() + ":" + this.settings.port(), ex);
		}
	}

	/**
	 * Puts bounds on callers in force for connections that are opened from now on.
	 * @param headerBytes the largest request head, in bytes
	 * @param headerTime the longest time to send a request head
	 * @param idleTime the longest time that a connection may stay without a request
	 */
	public void boundCallers(int headerBytes, Duration headerTime, Duration idleTime) {
		if (this.callers != null) {
			this.callers.setUndertowOptions(serverOptions(headerBytes, headerTime.toSeconds(), idleTime.toSeconds()));
		}
	}

	private AcceptingChannel<StreamConnection> listen(XnioWorker started, InetSocketAddress address,
			HttpOpenListener openListener, HttpHandler root) throws IOException {
		openListener.setRootHandler(root);
		AcceptingChannel<StreamConnection> channel = started.createStreamConnectionServer(address,
				ChannelListeners.openListenerAdapter(openListener), socketOptions(this.settings));
		channel.resumeAccepts();
		return channel;
	}

	/**
	 * Returns the address that is listened on.
	 * @return the address
	 */
	public InetSocketAddress address() {
		if (this.listening == null) {
			throw new IllegalStateException("The server is not started");
		}
		return this.listening.getLocalAddress(InetSocketAddress.class);
	}

	/**
	 * Asks callers to open a new connection after their next answer.
	 */
	public void closeConnectionsAfterAnswers() {
		this.closesConnections = true;
	}

	/**
	 * Closes the listening socket; open connections are served.
	 */
	public void stopListening() {
		IoUtils.safeClose(this.listening);
	}

	/**
	 * Returns the number of requests that are not answered.
	 * @return the count
	 */
	public int openRequests() {
		return this.metrics.open();
	}

	@Override
	public void close() {
		stopListening();
		if (this.worker != null) {
			this.worker.shutdownNow();
		}
		this.blockingWork.shutdownNow();
	}

	private static OptionMap serverOptions(int headerBytes, long headerSeconds, long idleSeconds) {
		return OptionMap.builder()
			.set(UndertowOptions.MAX_HEADER_SIZE, headerBytes)
			.set(UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) headerSeconds * MILLIS_PER_SECOND)
			.set(UndertowOptions.NO_REQUEST_TIMEOUT, (int) idleSeconds * MILLIS_PER_SECOND)
			.getMap();
	}

	private static OptionMap socketOptions(CallerSettings callers) {
		return OptionMap.builder()
			.set(Options.TCP_NODELAY, true)
			.set(Options.REUSE_ADDRESSES, true)
			.set(Options.BACKLOG, LISTEN_BACKLOG)
			.set(Options.CONNECTION_HIGH_WATER, callers.maximumConnections())
			.set(Options.CONNECTION_LOW_WATER, callers.maximumConnections())
			.getMap();
	}

	private static int ioThreads() {
		int processors = Runtime.getRuntime().availableProcessors();
		return (processors == 1) ? 1 : Math.max(2, processors / 2);
	}

	private static Thread thread(Runnable task) {
		Thread thread = new Thread(task, "claims");
		thread.setDaemon(true);
		return thread;
	}

}
