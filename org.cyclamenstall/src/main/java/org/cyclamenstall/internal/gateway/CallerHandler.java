package org.cyclamenstall.internal.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.function.BooleanSupplier;

import io.undertow.io.Receiver;
import io.undertow.server.Connectors;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.ErrorTable;
import org.cyclamenstall.errors.RouterException;
import org.xnio.IoUtils;

/**
 * Receives requests of callers: authenticates, reads the bounded body, resolves the entry
 * and starts the run. Thread-safe.
 */
final class CallerHandler implements HttpHandler {

	private static final Logger logger = LogManager.getLogger(CallerHandler.class);

	private final CallerProtocol protocol;

	private final GatewayServices services;

	private final BooleanSupplier closesConnections;

	private final Duration requestReadTime;

	CallerHandler(CallerProtocol protocol, GatewayServices services, BooleanSupplier closesConnections,
			Duration requestReadTime) {
		this.protocol = protocol;
		this.services = services;
		this.closesConnections = closesConnections;
		this.requestReadTime = requestReadTime;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		String requestId = this.protocol.identify(exchange);
		BodyDeadline deadline = BodyDeadline.start(exchange, this.requestReadTime,
				() -> bodyTimedOut(exchange, requestId));
		this.services.metrics().opened();
		exchange.addExchangeCompleteListener((completed, next) -> {
			deadline.met();
			this.services.metrics().closed();
			next.proceed();
		});
		if (this.closesConnections.getAsBoolean()) {
			exchange.setPersistent(false);
			exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
		}
		try {
			ArrivedRequest arrived = this.protocol.arrived(exchange, requestId);
			checkBound(exchange.getRequestContentLength(), arrived);
			exchange.getRequestReceiver().receiveFullBytes((received, body) -> {
				if (deadline.met()) {
					bodyArrived(received, arrived, requestId, body);
				}
			}, (failed, ex) -> {
				if (deadline.met()) {
					bodyFailed(failed, arrived, requestId, ex);
				}
			});
		}
		catch (RouterException ex) {
			refuse(exchange, requestId, ex);
		}
	}

	private void bodyArrived(HttpServerExchange exchange, ArrivedRequest arrived, String requestId, byte[] body) {
		try {
			checkBound(body.length, arrived);
			CallerRequest request = arrived.withBody(body);
			exchange.dispatch(SameThreadExecutor.INSTANCE, () -> run(exchange, request));
		}
		catch (RouterException ex) {
			refuse(exchange, requestId, ex);
		}
	}

	private void run(HttpServerExchange exchange, CallerRequest request) {
		try {
			new RequestRun(exchange, request, this.services).start();
		}
		catch (RuntimeException ex) {
			logger.error("Request {} failed", request.id(), ex);
			refuse(exchange, request.id(), new RouterException(ErrorKind.INTERNAL, "the daemon failed", ex));
		}
	}

	private void bodyFailed(HttpServerExchange exchange, ArrivedRequest arrived, String requestId, IOException ex) {
		if (ex instanceof Receiver.RequestToLargeException) {
			refuse(exchange, requestId, tooLarge(arrived));
		}
		else {
			logger.debug("Request {} ended before its body", requestId, ex);
			this.services.metrics().callerLeft();
			exchange.setPersistent(false);
			exchange.endExchange();
		}
	}

	/**
	 * Ends a request whose body did not arrive. An answer that was given before still
	 * waits for the rest of the body, so the request side is ended first.
	 * @param exchange the exchange
	 * @param requestId the request identifier
	 */
	private void bodyTimedOut(HttpServerExchange exchange, String requestId) {
		if (exchange.isRequestComplete()) {
			return;
		}
		exchange.setPersistent(false);
		Connectors.terminateRequest(exchange);
		if (exchange.isResponseStarted()) {
			exchange.endExchange();
			IoUtils.safeClose(exchange.getConnection());
		}
		else {
			refuse(exchange, requestId, new RouterException(ErrorKind.REQUEST_READ_TIMEOUT,
					"the body did not arrive within " + this.requestReadTime.toSeconds() + " s"));
		}
	}

	private static void checkBound(long length, ArrivedRequest arrived) {
		if (length > arrived.maximumBodyBytes()) {
			throw tooLarge(arrived);
		}
	}

	private static RouterException tooLarge(ArrivedRequest arrived) {
		return new RouterException(ErrorKind.BODY_TOO_LARGE,
				"the body exceeds " + arrived.maximumBodyBytes() + " bytes");
	}

	private void refuse(HttpServerExchange exchange, String requestId, RouterException ex) {
		this.services.metrics().failed(ex.kind(), ErrorTable.answerFor(ex.kind()).outcome());
		String detail = (ex.getMessage() != null) ? ex.getMessage() : ex.kind().code();
		this.services.events().record(this.protocol.refused(requestId, ex.kind(), detail));
		this.services.writer().error(exchange, requestId, ErrorReport.of(ex.kind(), detail));
	}

}
