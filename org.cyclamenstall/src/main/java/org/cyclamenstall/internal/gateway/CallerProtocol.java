package org.cyclamenstall.internal.gateway;

import io.undertow.server.HttpServerExchange;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.events.Event;

/**
 * Speaks one protocol with callers: reads their requests and writes the answers.
 * Thread-safe; the methods are called on the I/O thread of the exchange.
 */
public interface CallerProtocol {

	/**
	 * Returns the identifier of a request, for upstreams, answers and logs.
	 * @param exchange the exchange
	 * @return the identifier
	 */
	String identify(HttpServerExchange exchange);

	/**
	 * Checks the head of a request.
	 * @param exchange the exchange
	 * @param requestId the identifier of the request
	 * @return the request without its body
	 * @throws org.cyclamenstall.errors.RouterException if the request is refused
	 */
	ArrivedRequest arrived(HttpServerExchange exchange, String requestId);

	/**
	 * Describes the refusal of a request with what decided it.
	 * @param requestId the identifier of the request
	 * @param kind the error kind
	 * @param detail the detail for the caller
	 * @return the event
	 */
	Event refused(String requestId, ErrorKind kind, String detail);

	/**
	 * Returns the writer of answers.
	 * @return the writer
	 */
	AnswerWriter writer();

}
