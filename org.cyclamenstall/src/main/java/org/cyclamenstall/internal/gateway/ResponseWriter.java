package org.cyclamenstall.internal.gateway;

import io.undertow.server.HttpServerExchange;
import org.cyclamenstall.internal.upstream.BufferedResponse;
import org.cyclamenstall.internal.upstream.ResponseHead;
import org.jspecify.annotations.Nullable;

/**
 * Writes responses to callers. Thread-safe; each method is called on the I/O thread of
 * the exchange.
 */
public interface ResponseWriter {

	/**
	 * Writes a buffered response.
	 * @param exchange the exchange
	 * @param requestId the request identifier
	 * @param upstream the name of the upstream host, or {@code null} if a stored response
	 * is replayed
	 * @param response the response
	 */
	void writeResponse(HttpServerExchange exchange, String requestId, @Nullable String upstream,
			BufferedResponse response);

	/**
	 * Sets the status and headers of a streamed response. An HTTP/1.1 response is always
	 * chunked, also when the connection closes after it: without chunks, the caller could
	 * not distinguish a truncated stream from a complete one.
	 * @param exchange the exchange
	 * @param requestId the request identifier
	 * @param upstream the name of the upstream host
	 * @param upstreamHead the status and headers of the upstream's response
	 */
	void startStream(HttpServerExchange exchange, String requestId, String upstream, ResponseHead upstreamHead);

	/**
	 * Returns the end marker of a complete stream.
	 * @return the marker in bytes, empty if the protocol has none
	 */
	byte[] endMarker();

	/**
	 * Returns the bytes that end an interrupted stream.
	 * @param requestId the request identifier
	 * @param report the error to report
	 * @return the bytes, empty if the protocol has no error event
	 */
	byte[] errorEvent(String requestId, ErrorReport report);

	/**
	 * Writes an error response.
	 * @param exchange the exchange
	 * @param requestId the request identifier
	 * @param report the error to report
	 */
	void writeError(HttpServerExchange exchange, String requestId, ErrorReport report);

}
