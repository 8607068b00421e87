package org.cyclamenstall.internal.gateway;

import io.undertow.server.HttpServerExchange;
import org.cyclamenstall.internal.upstream.AnswerHead;
import org.cyclamenstall.internal.upstream.WholeAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Writes answers to callers. Thread-safe; each method is called on the I/O thread of the
 * exchange.
 */
public interface AnswerWriter {

	/**
	 * Writes a whole answer.
	 * @param exchange the exchange
	 * @param requestId the request identifier
	 * @param upstream the name of the upstream host, or {@code null} if the answer was
	 * stored
	 * @param answer the answer
	 */
	void whole(HttpServerExchange exchange, String requestId, @Nullable String upstream, WholeAnswer answer);

	/**
	 * Prepares the head of a stream. It is always chunked, also when the connection
	 * closes after it, because a stream without chunks looks whole wherever it is cut.
	 * @param exchange the exchange
	 * @param requestId the request identifier
	 * @param upstream the name of the upstream host
	 * @param head the head of the upstream's answer
	 */
	void streamHead(HttpServerExchange exchange, String requestId, String upstream, AnswerHead head);

	/**
	 * Returns what ends a whole stream.
	 * @return the end mark, perhaps empty
	 */
	byte[] streamEnd();

	/**
	 * Returns what ends a stream that is cut.
	 * @param requestId the request identifier
	 * @param report what the caller is told
	 * @return the last bytes, perhaps none
	 */
	byte[] streamError(String requestId, ErrorReport report);

	/**
	 * Writes an error answer.
	 * @param exchange the exchange
	 * @param requestId the request identifier
	 * @param report what the caller is told
	 */
	void error(HttpServerExchange exchange, String requestId, ErrorReport report);

}
