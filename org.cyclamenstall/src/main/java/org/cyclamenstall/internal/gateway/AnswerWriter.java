package org.cyclamenstall.internal.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.cyclamenstall.claims.StoredAnswer;
import org.cyclamenstall.errors.ErrorAnswer;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.ErrorTable;
import org.cyclamenstall.errors.Outcome;
import org.cyclamenstall.internal.upstream.WholeAnswer;
import org.cyclamenstall.lib.HeaderNames;

/**
 * Writes whole answers and error answers to callers. Stateless and thread-safe; each
 * method is called on the I/O thread of the exchange.
 */
final class AnswerWriter {

	private static final JsonMapper mapper = JsonMapper.builder().build();

	private static final HttpString REQUEST_ID = new HttpString(HeaderNames.REQUEST_ID);

	private static final HttpString OUTCOME = new HttpString(HeaderNames.OUTCOME);

	private static final HttpString ERROR_KIND = new HttpString(HeaderNames.ERROR_KIND);

	private static final HttpString UPSTREAM = new HttpString(HeaderNames.UPSTREAM);

	private static final HttpString ROUTED_BY = new HttpString(HeaderNames.ROUTED_BY);

	/** Headers that belong to the connection to the upstream. */
	private static final Set<HttpString> NOT_PASSED_ON = Set.of(Headers.CONNECTION, Headers.CONTENT_LENGTH,
			Headers.TRANSFER_ENCODING, Headers.TRAILER, Headers.UPGRADE, new HttpString("Keep-Alive"), REQUEST_ID,
			new HttpString(HeaderNames.ENGINE_RUNNING), new HttpString(HeaderNames.ENGINE_SLOTS),
			new HttpString(HeaderNames.ENGINE_REPORT_AGE), new HttpString(HeaderNames.DRAINING));

	private final String host;

	AnswerWriter(String host) {
		this.host = host;
	}

	/**
	 * Writes an upstream's whole answer.
	 * @param exchange the exchange
	 * @param requestId the request identifier
	 * @param upstream the name of the upstream host
	 * @param answer the answer
	 */
	void whole(HttpServerExchange exchange, String requestId, String upstream, WholeAnswer answer) {
		exchange.setStatusCode(answer.status());
		for (HeaderValues values : answer.headers()) {
			if (!NOT_PASSED_ON.contains(values.getHeaderName())) {
				exchange.getResponseHeaders().addAll(values.getHeaderName(), values);
			}
		}
		identify(exchange, requestId);
		exchange.getResponseHeaders().put(UPSTREAM, upstream);
		exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
	}

	/**
	 * Repeats the stored answer of an earlier request.
	 * @param exchange the exchange
	 * @param requestId the request identifier
	 * @param answer the answer
	 */
	void replay(HttpServerExchange exchange, String requestId, StoredAnswer answer) {
		exchange.setStatusCode(answer.status());
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, answer.contentType());
		identify(exchange, requestId);
		exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
	}

	/**
	 * Writes the head of a stream. It is always chunked, also when the connection closes
	 * after it, because a stream without chunks looks whole wherever it is cut.
	 * @param exchange the exchange
	 * @param requestId the request identifier
	 * @param upstream the name of the upstream host
	 */
	void streamHead(HttpServerExchange exchange, String requestId, String upstream) {
		exchange.setStatusCode(200);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream; charset=utf-8");
		exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
		if (exchange.isHttp11()) {
			exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
		}
		exchange.getResponseHeaders().put(UPSTREAM, upstream);
		identify(exchange, requestId);
	}

	/**
	 * Writes an error answer.
	 * @param exchange the exchange
	 * @param requestId the request identifier
	 * @param kind the error kind
	 * @param outcome what is known of the execution
	 * @param message the detail for the caller
	 */
	void error(HttpServerExchange exchange, String requestId, ErrorKind kind, Outcome outcome, String message) {
		ErrorAnswer row = ErrorTable.answerFor(kind);
		exchange.setStatusCode(row.status());
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseHeaders().put(ERROR_KIND, kind.code());
		exchange.getResponseHeaders().put(OUTCOME, outcome.label());
		Duration retryAfter = row.retryAfter();
		if (retryAfter != null) {
			exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfter.toSeconds());
		}
		identify(exchange, requestId);
		exchange.getResponseSender().send(errorBody(requestId, kind, outcome, message));
	}

	/**
	 * Returns the JSON object of an error.
	 * @param requestId the request identifier
	 * @param kind the error kind
	 * @param outcome what is known of the execution
	 * @param message the detail for the caller
	 * @return the object as text
	 */
	static String errorBody(String requestId, ErrorKind kind, Outcome outcome, String message) {
		ObjectNode body = mapper.createObjectNode();
		body.putObject("error")
			.put("kind", kind.code())
			.put("outcome", outcome.label())
			.put("message", message)
			.put("request_id", requestId);
		return body.toString();
	}

	/**
	 * Returns an event that ends a stream with an error.
	 * @param errorBody the JSON object of the error
	 * @return the event in bytes
	 */
	static byte[] errorEvent(String errorBody) {
		return ("event: error\ndata: " + errorBody + "\n\n").getBytes(StandardCharsets.UTF_8);
	}

	private void identify(HttpServerExchange exchange, String requestId) {
		exchange.getResponseHeaders().put(REQUEST_ID, requestId);
		exchange.getResponseHeaders().put(ROUTED_BY, this.host);
	}

}
