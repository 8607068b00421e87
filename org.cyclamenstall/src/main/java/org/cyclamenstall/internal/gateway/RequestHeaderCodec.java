package org.cyclamenstall.internal.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.jspecify.annotations.Nullable;

/**
 * Reads the headers of routed requests and derives the headers for upstreams. Stateless
 * and thread-safe.
 */
public interface RequestHeaderCodec {

	/**
	 * Returns the request identifier that the caller supplied.
	 * @param exchange the exchange
	 * @return the identifier, or {@code null} if there is no usable one
	 */
	@Nullable String requestIdentifier(HttpServerExchange exchange);

	/**
	 * Reads the headers of a request.
	 * @param exchange the exchange
	 * @return the decoded headers
	 */
	RequestHeaders decode(HttpServerExchange exchange);

	/**
	 * Derives the headers that are sent with all attempts of a request.
	 * @param exchange the exchange
	 * @param account the name of the client account, or {@code null} for a route that
	 * requires none
	 * @param priority the priority of the request, where 0 is the highest
	 * @return the headers, without hop-by-hop headers and without the API key
	 */
	HeaderMap upstreamHeaders(HttpServerExchange exchange, @Nullable String account, int priority);

}
