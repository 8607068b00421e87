package org.cyclamenstall.internal.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.function.BooleanSupplier;

import io.undertow.server.Connectors;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.ErrorTable;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.http.BodyBudget;
import org.xnio.StreamConnection;

/**
 * Handles requests of callers: validates the headers, reads the body within its size
 * limit and deadline, and starts the execution. Thread-safe.
 */
final class CallerHandler implements HttpHandler {

	private static final Logger logger = LogManager.getLogger(CallerHandler.class);

	private final CallerProtocol protocol;

	private final GatewayServices services;

	private final IdleConnections idleConnections;

	private final BooleanSupplier closeAfterResponse;

	private final Duration requestReadTimeout;

	CallerHandler(CallerProtocol protocol, GatewayServices services, IdleConnections idleConnections,
			BooleanSupplier closeAfterResponse, Duration requestReadTimeout) {
		this.protocol = protocol;
		this.services = services;
		this.idleConnections = idleConnections;
		this.closeAfterResponse = closeAfterResponse;
		this.requestReadTimeout = requestReadTimeout;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		StreamConnection connection = ((HttpServerConnection) exchange.getConnection()).getChannel();
		this.idleConnections.onRequest(connection);
		String requestId = this.protocol.requestIdentifier(exchange);
		BodyDeadline deadline = BodyDeadline.start(exchange, this.requestReadTimeout,
				() -> onBodyTimeout(exchange, requestId));
		this.services.openRequests().put(exchange, () -> refuseUnread(exchange, requestId, shuttingDown()));
		exchange.addExchangeCompleteListener((completedExchange, next) -> {
			deadline.stop();
			this.services.openRequests().remove(exchange);
			this.idleConnections.onIdle(connection);
			next.proceed();
		});
		if (this.closeAfterResponse.getAsBoolean()) {
			exchange.setPersistent(false);
			exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
		}
		if (!hasValidSyntax(exchange, requestId)) {
			return;
		}
		try {
			AcceptedRequest acceptedRequest = this.protocol.acceptHeaders(exchange, requestId);
			receiveBody(exchange, acceptedRequest, requestId, deadline);
		}
		catch (RouterException ex) {
			refuse(exchange, requestId, ex);
		}
	}

	// What follows a malformed request on its connection cannot be told from its body.
	private boolean hasValidSyntax(HttpServerExchange exchange, String requestId) {
		try {
			RequestSyntax.check(exchange);
			return true;
		}
		catch (RouterException ex) {
			exchange.setPersistent(false);
			Connectors.terminateRequest(exchange);
			refuse(exchange, requestId, ex);
			return false;
		}
	}

	private void receiveBody(HttpServerExchange exchange, AcceptedRequest acceptedRequest, String requestId,
			BodyDeadline deadline) {
		BodyBudget.Reservation reservation = this.services.bodyBudget().reserve();
		exchange.addExchangeCompleteListener((completedExchange, next) -> {
			reservation.release();
			next.proceed();
		});
		CallerBodyReader.start(exchange, acceptedRequest.maximumBodyBytes(), reservation,
				new BodyListener(exchange, acceptedRequest, requestId, deadline));
	}

	private void execute(HttpServerExchange exchange, CallerRequest request) {
		try {
			RequestExecution execution = new RequestExecution(exchange, request, this.services);
			this.services.openRequests().replace(exchange, execution::endBeforeShutdown);
			execution.start();
		}
		catch (RuntimeException ex) {
			logger.error("Could not execute request {}", request.id(), ex);
			refuse(exchange, request.id(), new RouterException(ErrorKind.INTERNAL, "internal error in the daemon", ex));
		}
	}

	private void onBodyTimeout(HttpServerExchange exchange, String requestId) {
		refuseUnread(exchange, requestId, new RouterException(ErrorKind.REQUEST_READ_TIMEOUT,
				"the body did not arrive within " + this.requestReadTimeout.toSeconds() + " s"));
	}

	/**
	 * Refuses a request whose body did not arrive in time. If a response was already
	 * started, it would wait for the rest of the body, so the request is terminated
	 * first. Has no effect on a request that was read completely.
	 * @param exchange the exchange
	 * @param requestId the request identifier
	 * @param cause the cause of the refusal
	 */
	private void refuseUnread(HttpServerExchange exchange, String requestId, RouterException cause) {
		if (exchange.isRequestComplete()) {
			return;
		}
		exchange.setPersistent(false);
		Connectors.terminateRequest(exchange);
		if (exchange.isResponseStarted()) {
			CallerConnections.abort(exchange);
		}
		else {
			refuse(exchange, requestId, cause);
		}
	}

	private static RouterException shuttingDown() {
		return new RouterException(ErrorKind.SHUTTING_DOWN, "the daemon ends before the request was received");
	}

	private static RouterException tooLarge(AcceptedRequest acceptedRequest) {
		return new RouterException(ErrorKind.BODY_TOO_LARGE,
				"the body exceeds " + acceptedRequest.maximumBodyBytes() + " bytes");
	}

	private void refuse(HttpServerExchange exchange, String requestId, RouterException ex) {
		this.services.metrics().recordError(ex.kind(), ErrorTable.responseFor(ex.kind()).outcome());
		String detail = (ex.getMessage() != null) ? ex.getMessage() : ex.kind().code();
		this.services.events().record(this.protocol.refusalEvent(requestId, ex.kind(), detail));
		if (!this.closeAfterResponse.getAsBoolean()) {
			closeAfterRequest(exchange);
		}
		this.services.writer().writeError(exchange, requestId, ErrorReport.of(ex.kind(), detail));
	}

	// Delays the close of a connection until the body was discarded or its deadline was
	// exceeded. A close with unread bytes resets the connection, which can discard the
	// response. The header that announces the close is left out, because with it the
	// server would close the receiving half at once. A daemon that shuts down announces
	// the close, so that its callers do not use the connection again.
	private static void closeAfterRequest(HttpServerExchange exchange) {
		if (exchange.isPersistent() || exchange.isRequestComplete()) {
			return;
		}
		exchange.setPersistent(true);
		exchange.getResponseHeaders().remove(Headers.CONNECTION);
		exchange.addExchangeCompleteListener((completedExchange, next) -> {
			completedExchange.setPersistent(false);
			next.proceed();
		});
	}

	/**
	 * Handles the end of the body of one request. Used on the I/O thread of the exchange.
	 */
	private final class BodyListener implements CallerBodyReader.Listener {

		private final HttpServerExchange exchange;

		private final AcceptedRequest acceptedRequest;

		private final String requestId;

		private final BodyDeadline deadline;

		BodyListener(HttpServerExchange exchange, AcceptedRequest acceptedRequest, String requestId,
				BodyDeadline deadline) {
			this.exchange = exchange;
			this.acceptedRequest = acceptedRequest;
			this.requestId = requestId;
			this.deadline = deadline;
		}

		@Override
		public void onBody(byte[] body) {
			if (!this.deadline.stop()) {
				return;
			}
			try {
				CallerRequest request = this.acceptedRequest.withBody(body);
				this.exchange.dispatch(SameThreadExecutor.INSTANCE, () -> execute(this.exchange, request));
			}
			catch (RouterException ex) {
				refuse(this.exchange, this.requestId, ex);
			}
		}

		@Override
		public void onTooLarge() {
			refuseUnfinished(tooLarge(this.acceptedRequest));
		}

		@Override
		public void onBudgetExhausted() {
			refuseUnfinished(new RouterException(ErrorKind.BODY_MEMORY_EXHAUSTED,
					"the bodies of other requests take the memory that is set aside for bodies"));
		}

		// The deadline is not stopped: it limits the time in which the rest of the body
		// is discarded.
		private void refuseUnfinished(RouterException cause) {
			if (!this.deadline.isFinished()) {
				refuse(this.exchange, this.requestId, cause);
			}
		}

		@Override
		public void onFailed(IOException ex) {
			if (!this.deadline.stop()) {
				return;
			}
			logger.debug("Caller of request {} disconnected before the end of the body", this.requestId, ex);
			CallerHandler.this.services.metrics().recordCallerDisconnect();
			CallerConnections.abort(this.exchange);
		}

	}

}
