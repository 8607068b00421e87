package org.cyclamenstall.standin.service;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import org.apache.commons.codec.digest.DigestUtils;
import org.cyclamenstall.lib.HeaderNames;
import org.cyclamenstall.standin.Standin;
import org.cyclamenstall.standin.http.Availability;
import org.cyclamenstall.standin.http.CallCounts;
import org.cyclamenstall.standin.http.ControlRoutes;
import org.cyclamenstall.standin.http.Exchanges;
import org.cyclamenstall.standin.http.FaultCountdown;
import org.cyclamenstall.standin.http.Json;
import org.cyclamenstall.standin.http.StandinServer;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/**
 * Simulates a plain service. Counts the executions of each request by method, path and
 * body, and by idempotency key; tests use these counts to determine whether and how often
 * a request was executed. Thread-safe.
 */
public final class ServiceStandin implements Standin {

	private static final HttpString REQUEST_ID_HEADER = new HttpString(HeaderNames.REQUEST_ID);

	private static final HttpString DRAINING_HEADER = new HttpString(HeaderNames.DRAINING);

	private static final int BYTES_BEFORE_TRUNCATION = 10;

	private final String name;

	private final StandinServer server;

	private final CallCounts counts = new CallCounts();

	private final CallCounts executionsByRequest = new CallCounts();

	private final CallCounts executionsByKey = new CallCounts();

	private final FaultCountdown refusals = new FaultCountdown();

	private final FaultCountdown closesBeforeExecution = new FaultCountdown();

	private final FaultCountdown closesAfterExecution = new FaultCountdown();

	private final FaultCountdown truncatedResponses = new FaultCountdown();

	private final FaultCountdown wrongRequestIds = new FaultCountdown();

	private volatile ServiceFaults faults = ServiceFaults.NONE;

	/**
	 * Creates a service and starts to listen.
	 * @param name the name of the service instance
	 * @param address the IP address to listen on
	 * @param port the TCP port; 0 selects a free port
	 */
	public ServiceStandin(String name, String address, int port) {
		this(name, address, port, 0);
	}

	/**
	 * Creates a service and starts to listen.
	 * @param name the name of the service instance
	 * @param address the IP address to listen on
	 * @param port the TCP port; 0 selects a free port
	 * @param controlPort the TCP port for control requests; 0 selects a free port
	 */
	public ServiceStandin(String name, String address, int port, int controlPort) {
		this.name = name;
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
	 * Returns the counters of requests.
	 * @return the counters
	 */
	public CallCounts counts() {
		return this.counts;
	}

	/**
	 * Returns how often requests with an idempotency key were executed.
	 * @param key the idempotency key
	 * @return the number of executions
	 */
	public long executionsOfKey(String key) {
		return this.executionsByKey.get(key);
	}

	/**
	 * Returns how often a request was executed.
	 * @param method the HTTP method
	 * @param path the request path
	 * @param body the request body
	 * @return the number of executions
	 */
	public long executionsOf(String method, String path, byte[] body) {
		return this.executionsByRequest.get(requestIdentity(method, path, body));
	}

	/**
	 * Replaces the injected faults.
	 * @param newFaults the new faults
	 */
	public void setFaults(ServiceFaults newFaults) {
		this.faults = newFaults;
		this.refusals.set(newFaults.refuseNext());
		this.closesBeforeExecution.set(newFaults.closeBeforeNext());
		this.closesAfterExecution.set(newFaults.closeAfterNext());
		this.truncatedResponses.set(newFaults.cutAnswerNext());
		this.wrongRequestIds.set(newFaults.foreignAnswerNext());
		this.server.setAvailability((newFaults.availability() != null) ? newFaults.availability() : Availability.UP);
	}

	@Override
	public void close() {
		this.server.close();
	}

	private ControlRoutes routes() {
		return new ControlRoutes().add("GET", "counts", (remainingPath, body) -> this.counts.all())
			.add("GET", "executions",
					(remainingPath, body) -> Map.of("total", this.counts.get("executed"), "by-request",
							this.executionsByRequest.all(), "by-key", this.executionsByKey.all()))
			.add("GET", "faults", (remainingPath, body) -> this.faults)
			.add("PUT", "faults", (remainingPath, body) -> {
				setFaults(Json.read(body, ServiceFaults.class));
				return null;
			});
	}

	private void handle(HttpServerExchange exchange) {
		exchange.getRequestReceiver()
			.receiveFullBytes((ready, body) -> Exchanges.runAfterDelay(ready, millisOrZero(this.faults.delayMillis()),
					() -> executeUnlessFaulty(ready, body)));
	}

	private void executeUnlessFaulty(HttpServerExchange exchange, byte[] body) {
		this.counts.increment("received");
		setHeaders(exchange);
		if (this.refusals.tryConsume()) {
			this.counts.increment("refused");
			exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE).endExchange();
		}
		else if (this.closesBeforeExecution.tryConsume()) {
			this.counts.increment("closed-before");
			Exchanges.closeConnection(exchange);
		}
		else {
			execute(exchange, body);
		}
	}

	private void execute(HttpServerExchange exchange, byte[] body) {
		this.counts.increment("executed");
		if (Boolean.TRUE.equals(this.faults.draining())) {
			this.counts.increment("executed-while-draining");
		}
		String identity = requestIdentity(exchange.getRequestMethod().toString(), exchange.getRequestPath(), body);
		this.executionsByRequest.increment(identity);
		String key = exchange.getRequestHeaders().getFirst(HeaderNames.IDEMPOTENCY_KEY);
		if (key != null) {
			this.executionsByKey.increment(key);
		}
		byte[] responseBody = createResponseBody(identity, key);
		Exchanges.runAfterDelay(exchange, millisOrZero(this.faults.answerDelayMillis()),
				() -> respondUnlessFaulty(exchange, responseBody));
	}

	private byte[] createResponseBody(String identity, @Nullable String key) {
		Map<String, Object> response = new LinkedHashMap<>();
		response.put("host", this.name);
		response.put("request", identity);
		response.put("executions", this.executionsByRequest.get(identity));
		if (key != null) {
			response.put("key", key);
		}
		return Json.write(response);
	}

	private void respondUnlessFaulty(HttpServerExchange exchange, byte[] responseBody) {
		if (this.closesAfterExecution.tryConsume()) {
			this.counts.increment("closed-after");
			Exchanges.closeConnection(exchange);
			return;
		}
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, responseBody.length);
		if (this.truncatedResponses.tryConsume()) {
			this.counts.increment("cut");
			TruncatedResponse.send(exchange, ByteBuffer.wrap(responseBody, 0, BYTES_BEFORE_TRUNCATION),
					() -> IoUtils.safeClose(exchange.getConnection()));
			return;
		}
		this.counts.increment("answered");
		exchange.getResponseSender().send(ByteBuffer.wrap(responseBody));
	}

	private void setHeaders(HttpServerExchange exchange) {
		String requestId = exchange.getRequestHeaders().getFirst(REQUEST_ID_HEADER);
		if (requestId != null) {
			exchange.getResponseHeaders()
				.put(REQUEST_ID_HEADER, this.wrongRequestIds.tryConsume() ? "foreign-" + requestId : requestId);
		}
		if (Boolean.TRUE.equals(this.faults.draining())) {
			exchange.getResponseHeaders().put(DRAINING_HEADER, "true");
		}
	}

	private static long millisOrZero(@Nullable Integer value) {
		return (value != null) ? value : 0;
	}

	private static String requestIdentity(String method, String path, byte[] body) {
		return method + " " + path + " " + DigestUtils.sha256Hex(body);
	}

}
