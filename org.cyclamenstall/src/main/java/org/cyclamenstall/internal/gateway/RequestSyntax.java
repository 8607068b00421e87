package org.cyclamenstall.internal.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.Protocols;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.http.HttpSyntax;
import org.jspecify.annotations.Nullable;

/**
 * Checks that the headers of a request leave no doubt about where its body ends (RFC
 * 9112, section 6). The server is lenient: it takes a length that is too large for zero,
 * and would read the body as the next request. Stateless and thread-safe.
 */
final class RequestSyntax {

	private RequestSyntax() {
	}

	/**
	 * Checks the headers of a request. After a violation, the rest of the connection
	 * cannot be read.
	 * @param exchange the exchange
	 * @throws RouterException if the request is malformed
	 */
	static void check(HttpServerExchange exchange) {
		HeaderMap headers = exchange.getRequestHeaders();
		for (HeaderValues values : headers) {
			checkField(values);
		}
		HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
		HeaderValues encodings = headers.get(Headers.TRANSFER_ENCODING);
		checkLengths(lengths);
		if (encodings == null) {
			return;
		}
		boolean chunked = encodings.size() == 1 && Headers.CHUNKED.toString().equalsIgnoreCase(encodings.getFirst());
		if (!chunked || lengths != null || !Protocols.HTTP_1_1.equals(exchange.getProtocol())) {
			throw malformed("the transfer encoding is not supported");
		}
	}

	private static void checkField(HeaderValues values) {
		if (!HttpSyntax.isToken(values.getHeaderName().toString())) {
			throw malformed("the name of a header is malformed");
		}
		for (int index = 0; index < values.size(); index++) {
			if (!HttpSyntax.isText(values.get(index))) {
				throw malformed("the value of a header contains a control byte");
			}
		}
	}

	private static void checkLengths(@Nullable HeaderValues lengths) {
		if (lengths != null && (lengths.size() > 1 || HttpSyntax.parseContentLength(lengths.getFirst()) < 0)) {
			throw malformed("the length of the body is malformed");
		}
	}

	private static RouterException malformed(String detail) {
		return new RouterException(ErrorKind.MALFORMED_REQUEST, detail);
	}

}
