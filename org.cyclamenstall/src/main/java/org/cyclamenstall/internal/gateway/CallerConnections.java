package org.cyclamenstall.internal.gateway;

import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;

/**
 * Ends exchanges whose response is not complete. Stateless; used on the I/O thread of the
 * exchange.
 */
final class CallerConnections {

	private CallerConnections() {
	}

	/**
	 * Closes the connection of an exchange and then completes the exchange. The order
	 * matters: completing an exchange on an open connection completes its response, so
	 * that one that was not started becomes an empty success and a started stream gets
	 * its last chunk.
	 * @param exchange the exchange
	 */
	static void abort(HttpServerExchange exchange) {
		IoUtils.safeClose(exchange.getConnection());
		exchange.endExchange();
	}

}
