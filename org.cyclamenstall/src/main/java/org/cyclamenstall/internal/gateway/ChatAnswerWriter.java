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
import org.cyclamenstall.errors.ErrorTable;
import org.cyclamenstall.internal.upstream.AnswerHead;
import org.cyclamenstall.internal.upstream.WholeAnswer;
import org.cyclamenstall.lib.HeaderNames;
import org.jspecify.annotations.Nullable;

/**
 * Writes answers in the product's own protocol. Immutable and thread-safe.
 */
final class ChatAnswerWriter implements AnswerWriter {

	private static final JsonMapper mapper = JsonMapper.builder().build();

	private static final byte[] END_MARK = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

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

	ChatAnswerWriter(String host) {
		this.host = host;
	}

	@Override
	public void whole(HttpServerExchange exchange, String requestId, @Nullable String upstream, WholeAnswer answer) {
		exchange.setStatusCode(answer.status());
		for (HeaderValues values : answer.headers()) {
			if (!NOT_PASSED_ON.contains(values.getHeaderName())) {
				exchange.getResponseHeaders().addAll(values.getHeaderName(), values);
			}
		}
		identify(exchange, requestId);
		if (upstream != null) {
			exchange.getResponseHeaders().put(UPSTREAM, upstream);
		}
		exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
	}

	@Override
	public void streamHead(HttpServerExchange exchange, String requestId, String upstream, AnswerHead head) {
		exchange.setStatusCode(200);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream; charset=utf-8");
		exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
		if (exchange.isHttp11()) {
			exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
		}
		exchange.getResponseHeaders().put(UPSTREAM, upstream);
		identify(exchange, requestId);
	}

	@Override
	public byte[] streamEnd() {
		return END_MARK;
	}

	@Override
	public byte[] streamError(String requestId, ErrorReport report) {
		return ("event: error\ndata: " + errorBody(requestId, report) + "\n\n").getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public void error(HttpServerExchange exchange, String requestId, ErrorReport report) {
		exchange.setStatusCode(ErrorTable.answerFor(report.kind()).status());
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseHeaders().put(ERROR_KIND, report.kind().code());
		exchange.getResponseHeaders().put(OUTCOME, report.outcome().label());
		Duration retryAfter = report.retryAfter();
		if (retryAfter != null) {
			exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Math.max(1, retryAfter.toSeconds()));
		}
		identify(exchange, requestId);
		exchange.getResponseSender().send(errorBody(requestId, report));
	}

	private static String errorBody(String requestId, ErrorReport report) {
		ObjectNode body = mapper.createObjectNode();
		body.putObject("error")
			.put("kind", report.kind().code())
			.put("outcome", report.outcome().label())
			.put("message", report.message())
			.put("request_id", requestId);
		return body.toString();
	}

	private void identify(HttpServerExchange exchange, String requestId) {
		exchange.getResponseHeaders().put(REQUEST_ID, requestId);
		exchange.getResponseHeaders().put(ROUTED_BY, this.host);
	}

}
