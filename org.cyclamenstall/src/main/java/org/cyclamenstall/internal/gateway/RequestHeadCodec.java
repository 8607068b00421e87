package org.cyclamenstall.internal.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.jspecify.annotations.Nullable;

/**
 * Reads the heads of routed requests and derives those for upstreams. Stateless and
 * thread-safe.
 */
public interface RequestHeadCodec {

	/**
	 * Returns the identifier that the caller gave its request.
	 * @param exchange the exchange
	 * @return the identifier, or {@code null} if there is no usable one
	 */
	@Nullable String identifier(HttpServerExchange exchange);

	/**
	 * Reads the head of a request.
	 * @param exchange the exchange
	 * @return the head
	 */
	RequestHead decode(HttpServerExchange exchange);

	/**
	 * Derives the headers that all attempts of a request carry.
	 * @param exchange the exchange
	 * @param account the name of the client account, or {@code null} if the request needs
	 * none
	 * @param priority the rank of the request, where 0 is the highest
	 * @return the headers, without those of one connection and without the API key
	 */
	HeaderMap upstreamHeaders(HttpServerExchange exchange, @Nullable String account, int priority);

}
