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
import org.cyclamenstall.standin.http.Countdown;
import org.cyclamenstall.standin.http.Exchanges;
import org.cyclamenstall.standin.http.Json;
import org.cyclamenstall.standin.http.StandinServer;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/**
 * Stands in for a plain service. It counts the executions of each request by method, path
 * and body, and by idempotency key; these counts decide whether a request ran.
 * Thread-safe.
 */
public final class ServiceStandin implements Standin {

	private static final HttpString REQUEST_ID = new HttpString(HeaderNames.REQUEST_ID);

	private static final HttpString DRAINING = new HttpString(HeaderNames.DRAINING);

	private static final int CUT_BYTES = 10;

	private final String name;

	private final StandinServer server;

	private final CallCounts counts = new CallCounts();

	private final CallCounts executionsByRequest = new CallCounts();

	private final CallCounts executionsByKey = new CallCounts();

	private final Countdown refusals = new Countdown();

	private final Countdown closesBefore = new Countdown();

	private final Countdown closesAfter = new Countdown();

	private final Countdown cutAnswers = new Countdown();

	private final Countdown foreignAnswers = new Countdown();

	private volatile ServiceFaults faults = ServiceFaults.NONE;

	/**
	 * Creates a service and starts to listen.
	 * @param name the name
	 * @param address the IP number to listen on
	 * @param port the TCP port; 0 takes a free one
	 */
	public ServiceStandin(String name, String address, int port) {
		this(name, address, port, 0);
	}

	/**
	 * Creates a service and starts to listen.
	 * @param name the name
	 * @param address the IP number to listen on
	 * @param port the TCP port; 0 takes a free one
	 * @param controlPort the TCP port of control requests; 0 takes a free one
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
	 * Returns the counts of requests.
	 * @return the counts
	 */
	public CallCounts counts() {
		return this.counts;
	}

	/**
	 * Returns how often the request of an idempotency key was executed.
	 * @param key the idempotency key
	 * @return the number of executions
	 */
	public long executionsOfKey(String key) {
		return this.executionsByKey.get(key);
	}

	/**
	 * Returns how often a request was executed.
	 * @param method the HTTP method
	 * @param path the path
	 * @param body the body
	 * @return the number of executions
	 */
	public long executionsOf(String method, String path, byte[] body) {
		return this.executionsByRequest.get(identity(method, path, body));
	}

	/**
	 * Puts faults into effect in place of the earlier ones.
	 * @param next the faults
	 */
	public void setFaults(ServiceFaults next) {
		this.faults = next;
		this.refusals.set(next.refuseNext());
		this.closesBefore.set(next.closeBeforeNext());
		this.closesAfter.set(next.closeAfterNext());
		this.cutAnswers.set(next.cutAnswerNext());
		this.foreignAnswers.set(next.foreignAnswerNext());
		this.server.setAvailability((next.availability() != null) ? next.availability() : Availability.UP);
	}

	@Override
	public void close() {
		this.server.close();
	}

	private ControlRoutes routes() {
		return new ControlRoutes().add("GET", "counts", (rest, body) -> this.counts.all())
			.add("GET", "executions",
					(rest, body) -> Map.of("total", this.counts.get("executed"), "by-request",
							this.executionsByRequest.all(), "by-key", this.executionsByKey.all()))
			.add("GET", "faults", (rest, body) -> this.faults)
			.add("PUT", "faults", (rest, body) -> {
				setFaults(Json.read(body, ServiceFaults.class));
				return null;
			});
	}

	private void handle(HttpServerExchange exchange) {
		exchange.getRequestReceiver()
			.receiveFullBytes((ready, body) -> Exchanges.later(ready, millis(this.faults.delayMillis()),
					() -> executeUnlessFaulty(ready, body)));
	}

	private void executeUnlessFaulty(HttpServerExchange exchange, byte[] body) {
		this.counts.increment("received");
		mark(exchange);
		if (this.refusals.take()) {
			this.counts.increment("refused");
			exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE).endExchange();
		}
		else if (this.closesBefore.take()) {
			this.counts.increment("closed-before");
			Exchanges.abort(exchange);
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
		String identity = identity(exchange.getRequestMethod().toString(), exchange.getRequestPath(), body);
		this.executionsByRequest.increment(identity);
		String key = exchange.getRequestHeaders().getFirst(HeaderNames.IDEMPOTENCY_KEY);
		if (key != null) {
			this.executionsByKey.increment(key);
		}
		byte[] answer = answer(identity, key);
		Exchanges.later(exchange, millis(this.faults.answerDelayMillis()), () -> answerUnlessFaulty(exchange, answer));
	}

	private byte[] answer(String identity, @Nullable String key) {
		Map<String, Object> answer = new LinkedHashMap<>();
		answer.put("host", this.name);
		answer.put("request", identity);
		answer.put("executions", this.executionsByRequest.get(identity));
		if (key != null) {
			answer.put("key", key);
		}
		return Json.write(answer);
	}

	private void answerUnlessFaulty(HttpServerExchange exchange, byte[] answer) {
		if (this.closesAfter.take()) {
			this.counts.increment("closed-after");
			Exchanges.abort(exchange);
			return;
		}
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, answer.length);
		if (this.cutAnswers.take()) {
			this.counts.increment("cut");
			CutAnswer.send(exchange, ByteBuffer.wrap(answer, 0, CUT_BYTES),
					() -> IoUtils.safeClose(exchange.getConnection()));
			return;
		}
		this.counts.increment("answered");
		exchange.getResponseSender().send(ByteBuffer.wrap(answer));
	}

	private void mark(HttpServerExchange exchange) {
		String requestId = exchange.getRequestHeaders().getFirst(REQUEST_ID);
		if (requestId != null) {
			exchange.getResponseHeaders()
				.put(REQUEST_ID, this.foreignAnswers.take() ? "foreign-" + requestId : requestId);
		}
		if (Boolean.TRUE.equals(this.faults.draining())) {
			exchange.getResponseHeaders().put(DRAINING, "true");
		}
	}

	private static long millis(@Nullable Integer value) {
		return (value != null) ? value : 0;
	}

	private static String identity(String method, String path, byte[] body) {
		return method + " " + path + " " + DigestUtils.sha256Hex(body);
	}

}
