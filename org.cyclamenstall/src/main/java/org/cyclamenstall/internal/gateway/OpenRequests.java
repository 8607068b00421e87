package org.cyclamenstall.internal.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.undertow.server.HttpServerExchange;

/**
 * Requests whose headers were received and whose response is not complete, each with the
 * step that gives it a final response before the process ends.
 * <p>
 * Invariant: a request is held from its headers until its exchange is complete.
 * Thread-safe.
 */
final class OpenRequests {

	private final Map<HttpServerExchange, Runnable> endings = new ConcurrentHashMap<>();

	/**
	 * Adds a request, or replaces the step that ends it.
	 * @param exchange the exchange of the request
	 * @param ending gives the request a final response, or has no effect if it already
	 * has one; run on the I/O thread of the exchange
	 */
	void put(HttpServerExchange exchange, Runnable ending) {
		this.endings.put(exchange, ending);
	}

	/**
	 * Replaces the step that ends a request, unless the request was removed.
	 * @param exchange the exchange of the request
	 * @param ending the new step
	 */
	void replace(HttpServerExchange exchange, Runnable ending) {
		this.endings.replace(exchange, ending);
	}

	void remove(HttpServerExchange exchange) {
		this.endings.remove(exchange);
	}

	int count() {
		return this.endings.size();
	}

	/**
	 * Gives each open request its final response. Returns before the responses are sent.
	 */
	void endAll() {
		this.endings.keySet().forEach((exchange) -> exchange.getIoThread().execute(() -> end(exchange)));
	}

	private void end(HttpServerExchange exchange) {
		Runnable ending = this.endings.get(exchange);
		if (ending != null) {
			ending.run();
		}
	}

}
