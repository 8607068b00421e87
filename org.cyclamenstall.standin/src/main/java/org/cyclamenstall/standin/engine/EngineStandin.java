package org.cyclamenstall.standin.engine;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.lib.HeaderNames;
import org.cyclamenstall.standin.Standin;
import org.cyclamenstall.standin.http.AsyncResponseWriter;
import org.cyclamenstall.standin.http.Availability;
import org.cyclamenstall.standin.http.CallCounts;
import org.cyclamenstall.standin.http.ControlRoutes;
import org.cyclamenstall.standin.http.DisconnectListener;
import org.cyclamenstall.standin.http.Exchanges;
import org.cyclamenstall.standin.http.FaultCountdown;
import org.cyclamenstall.standin.http.Json;
import org.cyclamenstall.standin.http.StandinServer;
import org.jspecify.annotations.Nullable;

/**
 * Simulates a model engine with continuous batching, priorities, resumption and
 * cancellation of streams, and delayed load reports. A single thread generates the
 * tokens; responses are written without blocking. Thread-safe.
 */
public final class EngineStandin implements Standin {

	private static final Logger logger = LogManager.getLogger(EngineStandin.class);

	private static final String PATH = "/v1/chat/completions";

	private static final HttpString REQUEST_ID_HEADER = new HttpString(HeaderNames.REQUEST_ID);

	private static final HttpString RUNNING_HEADER = new HttpString(HeaderNames.ENGINE_RUNNING);

	private static final HttpString SLOTS_HEADER = new HttpString(HeaderNames.ENGINE_SLOTS);

	private static final HttpString REPORT_AGE_HEADER = new HttpString(HeaderNames.ENGINE_REPORT_AGE);

	private static final HttpString DRAINING_HEADER = new HttpString(HeaderNames.DRAINING);

	private static final int DEFAULT_TRUNCATE_AFTER_TOKENS = 5;

	private static final int LOWEST_PRIORITY = 2;

	private final String name;

	private final EngineOptions options;

	private final CallCounts counts = new CallCounts();

	private final Batch batch;

	private final ScheduledExecutorService stepper;

	private final AtomicBoolean stepping = new AtomicBoolean();

	private final Map<ResponseFault, FaultCountdown> faultCountdowns = new EnumMap<>(ResponseFault.class);

	private final StandinServer server;

	private volatile EngineFaults faults = EngineFaults.NONE;

	/**
	 * Creates an engine and starts to listen.
	 * @param name the name of the engine
	 * @param address the IP address to listen on
	 * @param port the TCP port; 0 selects a free port
	 * @param options the capacity and speed
	 */
	public EngineStandin(String name, String address, int port, EngineOptions options) {
		this(name, address, port, 0, options);
	}

	/**
	 * Creates an engine and starts to listen.
	 * @param name the name of the engine
	 * @param address the IP address to listen on
	 * @param port the TCP port; 0 selects a free port
	 * @param controlPort the TCP port for control requests; 0 selects a free port
	 * @param options the capacity and speed
	 */
	public EngineStandin(String name, String address, int port, int controlPort, EngineOptions options) {
		this.name = name;
		this.options = options;
		this.batch = new Batch(options, MonotonicClock.SYSTEM, this.counts);
		for (ResponseFault fault : ResponseFault.values()) {
			this.faultCountdowns.put(fault, new FaultCountdown());
		}
		this.stepper = Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread thread = new Thread(task, "engine-" + name);
			thread.setDaemon(true);
			return thread;
		});
		this.server = new StandinServer(address, port, controlPort, this::handle, routes());
	}

	@Override
	public String name() {
		return this.name;
	}

	@Override
	public StandinServer server() {
		return this.server;
	}

	/**
	 * Returns the counters of requests and tokens.
	 * @return the counters
	 */
	public CallCounts counts() {
		return this.counts;
	}

	/**
	 * Replaces the injected faults.
	 * @param newFaults the new faults
	 */
	public void setFaults(EngineFaults newFaults) {
		this.faults = newFaults;
		countdown(ResponseFault.CUT).set(newFaults.cutNext());
		countdown(ResponseFault.FOREIGN_ID).set(newFaults.foreignIdNext());
		countdown(ResponseFault.MALFORMED).set(newFaults.malformedNext());
		countdown(ResponseFault.OVERSIZED).set(newFaults.oversizedNext());
		countdown(ResponseFault.DUPLICATE).set(newFaults.duplicateNext());
		this.batch.setSpeed((newFaults.slowdown() != null) ? newFaults.slowdown() : 1,
				Boolean.TRUE.equals(newFaults.stalled()));
		this.server.setAvailability((newFaults.availability() != null) ? newFaults.availability() : Availability.UP);
	}

	/**
	 * Closes all connections, so that all running requests are lost.
	 */
	public void crash() {
		this.server.closeConnections();
	}

	@Override
	public void close() {
		this.server.close();
		this.stepper.shutdownNow();
	}

	private ControlRoutes routes() {
		return new ControlRoutes().add("GET", "counts", (remainingPath, body) -> this.counts.all())
			.add("GET", "faults", (remainingPath, body) -> this.faults)
			.add("PUT", "faults", (remainingPath, body) -> {
				setFaults(Json.read(body, EngineFaults.class));
				return null;
			})
			.add("POST", "crash", (remainingPath, body) -> {
				crash();
				return null;
			});
	}

	private FaultCountdown countdown(ResponseFault fault) {
		return this.faultCountdowns.get(fault);
	}

	private void handle(HttpServerExchange exchange) {
		if (!exchange.getRequestPath().equals(PATH)) {
			exchange.setStatusCode(StatusCodes.NOT_FOUND).endExchange();
			return;
		}
		exchange.getRequestReceiver().receiveFullBytes(this::handleRequest);
	}

	private void handleRequest(HttpServerExchange exchange, byte[] body) {
		this.counts.increment("received");
		EngineFaults currentFaults = this.faults;
		if (currentFaults.isDraining()) {
			this.counts.increment("refused-draining");
			refuse(exchange, StatusCodes.SERVICE_UNAVAILABLE);
			return;
		}
		try {
			submit(exchange, CompletionRequest.parse(body, this.options), currentFaults);
		}
		catch (IOException ex) {
			this.counts.increment("malformed");
			Json.send(exchange, StatusCodes.BAD_REQUEST, Map.of("error", "malformed request"));
		}
	}

	private void submit(HttpServerExchange exchange, CompletionRequest request, EngineFaults currentFaults) {
		String identifier = exchange.getRequestHeaders().getFirst(REQUEST_ID_HEADER);
		Cancellation cancellation = new Cancellation(this.batch);
		AsyncResponseWriter writer = new AsyncResponseWriter(exchange, cancellation::cancel);
		EngineResponse response = createResponse(exchange, (identifier != null) ? identifier : "none", request,
				currentFaults, writer);
		int resumedTokens = integerHeader(exchange, HeaderNames.RESUME_TOKENS, 0);
		int priority = integerHeader(exchange, HeaderNames.PRIORITY, LOWEST_PRIORITY);
		Generation generation = new Generation(request, priority, resumedTokens, response);
		cancellation.generation = generation;
		if (!this.batch.submit(generation)) {
			this.counts.increment("refused-full");
			refuse(exchange, StatusCodes.TOO_MANY_REQUESTS);
			return;
		}
		if (resumedTokens > 0) {
			this.counts.increment("resumed");
		}
		Exchanges.runAfterHandler(exchange, () -> DisconnectListener.listen(exchange, cancellation::cancel));
		startStepping();
	}

	private EngineResponse createResponse(HttpServerExchange exchange, String identifier, CompletionRequest request,
			EngineFaults currentFaults, AsyncResponseWriter writer) {
		ResponseFault fault = nextFault();
		int truncateAfter = (currentFaults.cutAfterTokens() != null) ? currentFaults.cutAfterTokens()
				: DEFAULT_TRUNCATE_AFTER_TOKENS;
		if (request.stream()) {
			return new StreamedResponse(identifier, request, fault, truncateAfter, writer,
					() -> runOnIoThread(exchange, () -> setStreamHeaders(exchange, fault)));
		}
		return new NonStreamedResponse(identifier, request, fault, truncateAfter, writer,
				(length, trailingBytes) -> runOnIoThread(exchange,
						() -> setNonStreamedHeaders(exchange, fault, length, trailingBytes)));
	}

	private ResponseFault nextFault() {
		for (Map.Entry<ResponseFault, FaultCountdown> entry : this.faultCountdowns.entrySet()) {
			if (entry.getValue().tryConsume()) {
				this.counts.increment("fault-" + entry.getKey().name().toLowerCase(Locale.ROOT));
				return entry.getKey();
			}
		}
		return ResponseFault.NONE;
	}

	private void setStreamHeaders(HttpServerExchange exchange, ResponseFault fault) {
		setHeaders(exchange, fault);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
		exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
	}

	private void setNonStreamedHeaders(HttpServerExchange exchange, ResponseFault fault, int length,
			byte[] trailingBytes) {
		setHeaders(exchange, fault);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length);
		if (trailingBytes.length > 0) {
			exchange.addExchangeCompleteListener((completed, nextListener) -> {
				sendUnsolicited(completed, trailingBytes);
				nextListener.proceed();
			});
		}
	}

	private void setHeaders(HttpServerExchange exchange, ResponseFault fault) {
		String identifier = exchange.getRequestHeaders().getFirst(REQUEST_ID_HEADER);
		if (identifier != null) {
			exchange.getResponseHeaders()
				.put(REQUEST_ID_HEADER, (fault == ResponseFault.FOREIGN_ID) ? "foreign-" + identifier : identifier);
		}
		Integer injectedLag = this.faults.reportLagMillis();
		int lagMillis = (injectedLag != null) ? injectedLag : this.options.reportLagMillis();
		exchange.getResponseHeaders().put(RUNNING_HEADER, this.batch.runningCountMillisAgo(lagMillis));
		exchange.getResponseHeaders().put(SLOTS_HEADER, this.options.slots());
		exchange.getResponseHeaders().put(REPORT_AGE_HEADER, lagMillis);
		if (this.faults.isDraining()) {
			exchange.getResponseHeaders().put(DRAINING_HEADER, "true");
		}
	}

	private void refuse(HttpServerExchange exchange, int status) {
		setHeaders(exchange, ResponseFault.NONE);
		exchange.setStatusCode(status).endExchange();
	}

	private void startStepping() {
		if (this.stepping.compareAndSet(false, true)) {
			this.stepper.execute(this::step);
		}
	}

	private void step() {
		long delayNanos = 0;
		try {
			delayNanos = this.batch.step();
		}
		catch (RuntimeException ex) {
			logger.error("Step of engine {} failed", this.name, ex);
		}
		if (!this.batch.isIdle()) {
			this.stepper.schedule(this::step, delayNanos, TimeUnit.NANOSECONDS);
			return;
		}
		this.stepping.set(false);
		if (!this.batch.isIdle()) {
			startStepping();
		}
	}

	private static void runOnIoThread(HttpServerExchange exchange, Runnable task) {
		exchange.getIoThread().execute(task);
	}

	private static void sendUnsolicited(HttpServerExchange exchange, byte[] bytes) {
		try {
			((HttpServerConnection) exchange.getConnection()).getOriginalSinkConduit().write(ByteBuffer.wrap(bytes));
		}
		catch (IOException ex) {
			logger.debug("Connection closed before the duplicate response was written", ex);
		}
	}

	private static int integerHeader(HttpServerExchange exchange, String header, int defaultValue) {
		String value = exchange.getRequestHeaders().getFirst(header);
		return (value != null) ? Integer.parseInt(value) : defaultValue;
	}

	/**
	 * Cancels a generation when its connection is closed or writing to it fails. The
	 * generation is set later, because its response writer is created first and needs the
	 * cancellation.
	 */
	private static final class Cancellation {

		private final Batch batch;

		private volatile @Nullable Generation generation;

		Cancellation(Batch batch) {
			this.batch = batch;
		}

		void cancel() {
			Generation submitted = this.generation;
			if (submitted != null) {
				this.batch.cancel(submitted);
			}
		}

	}

}
