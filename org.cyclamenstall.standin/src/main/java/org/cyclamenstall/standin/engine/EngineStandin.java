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
import org.cyclamenstall.standin.http.Availability;
import org.cyclamenstall.standin.http.BufferedAnswer;
import org.cyclamenstall.standin.http.CallCounts;
import org.cyclamenstall.standin.http.ControlRoutes;
import org.cyclamenstall.standin.http.Countdown;
import org.cyclamenstall.standin.http.DisconnectListener;
import org.cyclamenstall.standin.http.Exchanges;
import org.cyclamenstall.standin.http.Json;
import org.cyclamenstall.standin.http.StandinServer;
import org.jspecify.annotations.Nullable;

/**
 * Stands in for a model engine that batches continuously, honours priorities, resumes and
 * cancels streams, and reports its load late. One thread makes the tokens; answers are
 * written without blocking. Thread-safe.
 */
public final class EngineStandin implements Standin {

	private static final Logger logger = LogManager.getLogger(EngineStandin.class);

	private static final String PATH = "/v1/chat/completions";

	private static final HttpString REQUEST_ID = new HttpString(HeaderNames.REQUEST_ID);

	private static final HttpString RUNNING = new HttpString(HeaderNames.ENGINE_RUNNING);

	private static final HttpString SLOTS = new HttpString(HeaderNames.ENGINE_SLOTS);

	private static final HttpString REPORT_AGE = new HttpString(HeaderNames.ENGINE_REPORT_AGE);

	private static final HttpString DRAINING = new HttpString(HeaderNames.DRAINING);

	private static final int DEFAULT_CUT_AFTER_TOKENS = 5;

	private static final int LOWEST_PRIORITY = 2;

	private final String name;

	private final EngineOptions options;

	private final CallCounts counts = new CallCounts();

	private final Batch batch;

	private final ScheduledExecutorService stepper;

	private final AtomicBoolean stepping = new AtomicBoolean();

	private final Map<AnswerFault, Countdown> answerFaults = new EnumMap<>(AnswerFault.class);

	private final StandinServer server;

	private volatile EngineFaults faults = EngineFaults.NONE;

	/**
	 * Creates an engine and starts to listen.
	 * @param name the name
	 * @param address the IP number to listen on
	 * @param port the TCP port; 0 takes a free one
	 * @param options the size and speed
	 */
	public EngineStandin(String name, String address, int port, EngineOptions options) {
		this(name, address, port, 0, options);
	}

	/**
	 * Creates an engine and starts to listen.
	 * @param name the name
	 * @param address the IP number to listen on
	 * @param port the TCP port; 0 takes a free one
	 * @param controlPort the TCP port of control requests; 0 takes a free one
	 * @param options the size and speed
	 */
	public EngineStandin(String name, String address, int port, int controlPort, EngineOptions options) {
		this.name = name;
		this.options = options;
		this.batch = new Batch(options, MonotonicClock.SYSTEM, this.counts);
		for (AnswerFault fault : AnswerFault.values()) {
			this.answerFaults.put(fault, new Countdown());
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
	 * Returns the counts of requests and tokens.
	 * @return the counts
	 */
	public CallCounts counts() {
		return this.counts;
	}

	/**
	 * Puts faults into effect in place of the earlier ones.
	 * @param next the faults
	 */
	public void setFaults(EngineFaults next) {
		this.faults = next;
		countdown(AnswerFault.CUT).set(next.cutNext());
		countdown(AnswerFault.FOREIGN_ID).set(next.foreignIdNext());
		countdown(AnswerFault.MALFORMED).set(next.malformedNext());
		countdown(AnswerFault.OVERSIZED).set(next.oversizedNext());
		countdown(AnswerFault.DUPLICATE).set(next.duplicateNext());
		this.batch.setSpeed((next.slowdown() != null) ? next.slowdown() : 1, Boolean.TRUE.equals(next.stalled()));
		this.server.setAvailability((next.availability() != null) ? next.availability() : Availability.UP);
	}

	/**
	 * Closes every connection at once, so that all running requests are lost.
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
		return new ControlRoutes().add("GET", "counts", (rest, body) -> this.counts.all())
			.add("GET", "faults", (rest, body) -> this.faults)
			.add("PUT", "faults", (rest, body) -> {
				setFaults(Json.read(body, EngineFaults.class));
				return null;
			})
			.add("POST", "crash", (rest, body) -> {
				crash();
				return null;
			});
	}

	private Countdown countdown(AnswerFault fault) {
		return this.answerFaults.get(fault);
	}

	private void handle(HttpServerExchange exchange) {
		if (!exchange.getRequestPath().equals(PATH)) {
			exchange.setStatusCode(StatusCodes.NOT_FOUND).endExchange();
			return;
		}
		exchange.getRequestReceiver().receiveFullBytes(this::take);
	}

	private void take(HttpServerExchange exchange, byte[] body) {
		this.counts.increment("received");
		EngineFaults current = this.faults;
		if (current.isDraining()) {
			this.counts.increment("refused-draining");
			refuse(exchange, StatusCodes.SERVICE_UNAVAILABLE);
			return;
		}
		try {
			submit(exchange, CompletionRequest.parse(body, this.options), current);
		}
		catch (IOException ex) {
			this.counts.increment("malformed");
			Json.send(exchange, StatusCodes.BAD_REQUEST, Map.of("error", "malformed request"));
		}
	}

	private void submit(HttpServerExchange exchange, CompletionRequest request, EngineFaults current) {
		String identifier = exchange.getRequestHeaders().getFirst(REQUEST_ID);
		Cancellation cancellation = new Cancellation(this.batch);
		BufferedAnswer buffered = new BufferedAnswer(exchange, cancellation::cancel);
		EngineAnswer answer = answer(exchange, (identifier != null) ? identifier : "none", request, current, buffered);
		int resumeAt = integerHeader(exchange, HeaderNames.RESUME_TOKENS, 0);
		int priority = integerHeader(exchange, HeaderNames.PRIORITY, LOWEST_PRIORITY);
		Generation generation = new Generation(request, priority, resumeAt, answer);
		cancellation.generation = generation;
		if (!this.batch.submit(generation)) {
			this.counts.increment("refused-full");
			refuse(exchange, StatusCodes.TOO_MANY_REQUESTS);
			return;
		}
		if (resumeAt > 0) {
			this.counts.increment("resumed");
		}
		Exchanges.park(exchange, () -> DisconnectListener.listen(exchange, cancellation::cancel));
		startStepping();
	}

	private EngineAnswer answer(HttpServerExchange exchange, String identifier, CompletionRequest request,
			EngineFaults current, BufferedAnswer buffered) {
		AnswerFault fault = nextFault();
		int cutAfter = (current.cutAfterTokens() != null) ? current.cutAfterTokens() : DEFAULT_CUT_AFTER_TOKENS;
		if (request.stream()) {
			return new StreamedAnswer(identifier, request, fault, cutAfter, buffered,
					() -> onIoThread(exchange, () -> sendStreamHead(exchange, fault)));
		}
		return new WholeAnswer(identifier, request, fault, cutAfter, buffered,
				(length, after) -> onIoThread(exchange, () -> sendWholeHead(exchange, fault, length, after)));
	}

	private AnswerFault nextFault() {
		for (Map.Entry<AnswerFault, Countdown> entry : this.answerFaults.entrySet()) {
			if (entry.getValue().take()) {
				this.counts.increment("fault-" + entry.getKey().name().toLowerCase(Locale.ROOT));
				return entry.getKey();
			}
		}
		return AnswerFault.NONE;
	}

	private void sendStreamHead(HttpServerExchange exchange, AnswerFault fault) {
		mark(exchange, fault);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
		exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
	}

	private void sendWholeHead(HttpServerExchange exchange, AnswerFault fault, int length, byte[] after) {
		mark(exchange, fault);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length);
		if (after.length > 0) {
			exchange.addExchangeCompleteListener((completed, next) -> {
				sendUnasked(completed, after);
				next.proceed();
			});
		}
	}

	private void mark(HttpServerExchange exchange, AnswerFault fault) {
		String identifier = exchange.getRequestHeaders().getFirst(REQUEST_ID);
		if (identifier != null) {
			exchange.getResponseHeaders()
				.put(REQUEST_ID, (fault == AnswerFault.FOREIGN_ID) ? "foreign-" + identifier : identifier);
		}
		Integer faultyLag = this.faults.reportLagMillis();
		int lag = (faultyLag != null) ? faultyLag : this.options.reportLagMillis();
		exchange.getResponseHeaders().put(RUNNING, this.batch.runningAt(lag));
		exchange.getResponseHeaders().put(SLOTS, this.options.slots());
		exchange.getResponseHeaders().put(REPORT_AGE, lag);
		if (this.faults.isDraining()) {
			exchange.getResponseHeaders().put(DRAINING, "true");
		}
	}

	private void refuse(HttpServerExchange exchange, int status) {
		mark(exchange, AnswerFault.NONE);
		exchange.setStatusCode(status).endExchange();
	}

	private void startStepping() {
		if (this.stepping.compareAndSet(false, true)) {
			this.stepper.execute(this::step);
		}
	}

	private void step() {
		long nanos = 0;
		try {
			nanos = this.batch.step();
		}
		catch (RuntimeException ex) {
			logger.error("A step of engine {} failed", this.name, ex);
		}
		if (!this.batch.isIdle()) {
			this.stepper.schedule(this::step, nanos, TimeUnit.NANOSECONDS);
			return;
		}
		this.stepping.set(false);
		if (!this.batch.isIdle()) {
			startStepping();
		}
	}

	private static void onIoThread(HttpServerExchange exchange, Runnable task) {
		exchange.getIoThread().execute(task);
	}

	private static void sendUnasked(HttpServerExchange exchange, byte[] bytes) {
		try {
			((HttpServerConnection) exchange.getConnection()).getOriginalSinkConduit().write(ByteBuffer.wrap(bytes));
		}
		catch (IOException ex) {
			logger.debug("The connection closed before the second answer", ex);
		}
	}

	private static int integerHeader(HttpServerExchange exchange, String header, int fallback) {
		String value = exchange.getRequestHeaders().getFirst(header);
		return (value != null) ? Integer.parseInt(value) : fallback;
	}

	private static final class Cancellation {

		private final Batch batch;

		private volatile @Nullable Generation generation;

		Cancellation(Batch batch) {
			this.batch = batch;
		}

		void cancel() {
			Generation running = this.generation;
			if (running != null) {
				this.batch.cancel(running);
			}
		}

	}

}
