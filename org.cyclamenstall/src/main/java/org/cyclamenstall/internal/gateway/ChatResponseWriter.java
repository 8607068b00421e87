package org.cyclamenstall.internal.gateway;

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
import org.cyclamenstall.internal.upstream.BufferedResponse;
import org.cyclamenstall.internal.upstream.ResponseHead;
import org.cyclamenstall.lib.HeaderNames;
import org.jspecify.annotations.Nullable;

/**
 * Writes responses in the native chat-completion protocol. Immutable and thread-safe.
 */
final class ChatResponseWriter implements ResponseWriter {

	private static final JsonMapper mapper = JsonMapper.builder().build();

	private static final byte[] END_MARKER = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

	private static final HttpString REQUEST_ID = new HttpString(HeaderNames.REQUEST_ID);

	private static final HttpString OUTCOME = new HttpString(HeaderNames.OUTCOME);

	private static final HttpString ERROR_KIND = new HttpString(HeaderNames.ERROR_KIND);

	private static final HttpString UPSTREAM = new HttpString(HeaderNames.UPSTREAM);

	private static final HttpString ROUTED_BY = new HttpString(HeaderNames.ROUTED_BY);

	/**
	 * Upstream headers that are not forwarded: hop-by-hop headers, and those that only
	 * the daemon evaluates or sets.
	 */
	private static final Set<HttpString> EXCLUDED_HEADERS = Set.of(Headers.CONNECTION, Headers.CONTENT_LENGTH,
			Headers.TRANSFER_ENCODING, Headers.TRAILER, Headers.UPGRADE, new HttpString("Keep-Alive"), REQUEST_ID,
			new HttpString(HeaderNames.ENGINE_RUNNING), new HttpString(HeaderNames.ENGINE_SLOTS),
			new HttpString(HeaderNames.ENGINE_REPORT_AGE), new HttpString(HeaderNames.DRAINING));

	private final String host;

	ChatResponseWriter(String host) {
		this.host = host;
	}

	@Override
	public void writeResponse(HttpServerExchange exchange, String requestId, @Nullable String upstream,
			BufferedResponse response) {
		exchange.setStatusCode(response.status());
		for (HeaderValues values : response.headers()) {
			if (!EXCLUDED_HEADERS.contains(values.getHeaderName())) {
				exchange.getResponseHeaders().addAll(values.getHeaderName(), values);
			}
		}
		addIdentifyingHeaders(exchange, requestId);
		if (upstream != null) {
			exchange.getResponseHeaders().put(UPSTREAM, upstream);
		}
		CallerBodyWriter.write(exchange, response.body());
	}

	@Override
	public void startStream(HttpServerExchange exchange, String requestId, String upstream, ResponseHead upstreamHead) {
		exchange.setStatusCode(200);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream; charset=utf-8");
		exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
		if (exchange.isHttp11()) {
			exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
		}
		exchange.getResponseHeaders().put(UPSTREAM, upstream);
		addIdentifyingHeaders(exchange, requestId);
	}

	@Override
	public byte[] endMarker() {
		return END_MARKER;
	}

	@Override
	public byte[] errorEvent(String requestId, ErrorReport report) {
		return ("event: error\ndata: " + errorBody(requestId, report) + "\n\n").getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public void writeError(HttpServerExchange exchange, String requestId, ErrorReport report) {
		exchange.setStatusCode(ErrorTable.responseFor(report.kind()).status());
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseHeaders().put(ERROR_KIND, report.kind().code());
		exchange.getResponseHeaders().put(OUTCOME, report.outcome().label());
		Duration retryAfter = report.retryAfter();
		if (retryAfter != null) {
			exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Math.max(1, retryAfter.toSeconds()));
		}
		addIdentifyingHeaders(exchange, requestId);
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

	private void addIdentifyingHeaders(HttpServerExchange exchange, String requestId) {
		exchange.getResponseHeaders().put(REQUEST_ID, requestId);
		exchange.getResponseHeaders().put(ROUTED_BY, this.host);
	}

}
