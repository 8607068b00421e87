package org.cyclamenstall.internal.gateway;

import io.undertow.server.HttpServerExchange;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.events.Event;

/**
 * Protocol between callers and the daemon: identifies, authenticates and validates
 * requests, and provides the writer for their responses. Thread-safe; the methods are
 * called on the I/O thread of the exchange.
 */
public interface CallerProtocol {

	/**
	 * Returns the identifier of a request, which appears in upstream requests, responses
	 * and logs.
	 * @param exchange the exchange
	 * @return the identifier
	 */
	String requestIdentifier(HttpServerExchange exchange);

	/**
	 * Validates the headers of a request and authenticates its client account. A protocol
	 * with a route table also selects the route.
	 * @param exchange the exchange
	 * @param requestId the request identifier
	 * @return the request, whose body is still to be read
	 * @throws org.cyclamenstall.errors.RouterException if the request is refused
	 */
	AcceptedRequest acceptHeaders(HttpServerExchange exchange, String requestId);

	/**
	 * Creates the event of a refused request, including the configuration version on
	 * which the refusal is based.
	 * @param requestId the request identifier
	 * @param kind the error kind
	 * @param detail the detail message for the caller
	 * @return the event
	 */
	Event refusalEvent(String requestId, ErrorKind kind, String detail);

	/**
	 * Returns the writer for responses to callers.
	 * @return the writer
	 */
	ResponseWriter writer();

}
