package org.cyclamenstall.internal.gateway;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.internal.http.BodyBudget;
import org.cyclamenstall.internal.upstream.BufferedResponse;
import org.cyclamenstall.internal.upstream.ResponseHead;
import org.cyclamenstall.internal.upstream.StreamEvent;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Sends the response of a request to its caller and suspends the upstream while the
 * caller reads too slowly. A resumed stream keeps the headers of its first upstream. Used
 * on the I/O thread of the exchange.
 */
final class ResponseRelay implements CallerStream.Listener {

	private static final Logger logger = LogManager.getLogger(ResponseRelay.class);

	private static final Duration MAXIMUM_CALLER_STALL = Duration.ofSeconds(30);

	private final HttpServerExchange exchange;

	private final String requestId;

	private final ResponseWriter writer;

	private final FlowControl flowControl;

	private @Nullable CallerStream stream;

	private XnioExecutor.@Nullable Key stallTimer;

	private boolean blocked;

	ResponseRelay(HttpServerExchange exchange, String requestId, ResponseWriter writer, FlowControl flowControl) {
		this.exchange = exchange;
		this.requestId = requestId;
		this.writer = writer;
		this.flowControl = flowControl;
	}

	/**
	 * Returns whether a streamed response has started.
	 * @return {@code true} once the stream headers were written
	 */
	boolean isStreaming() {
		return this.stream != null;
	}

	/**
	 * Returns whether the caller reads more slowly than the upstream sends.
	 * @return {@code true} while data waits to be written
	 */
	boolean isBlocked() {
		return this.blocked;
	}

	void startStream(String upstream, ResponseHead upstreamHead) {
		this.writer.startStream(this.exchange, this.requestId, upstream, upstreamHead);
		this.stream = new CallerStream(this.exchange, this);
	}

	void writeEvent(StreamEvent event) {
		if (this.stream != null) {
			this.stream.writeEvent(event.bytes());
		}
	}

	void finishStream() {
		if (this.stream != null) {
			this.stream.finish(this.writer.endMarker());
		}
	}

	void writeResponse(@Nullable String upstream, BufferedResponse response) {
		this.writer.writeResponse(this.exchange, this.requestId, upstream, response);
	}

	/**
	 * Releases the memory of a buffered response when the exchange ends, and ends it if
	 * the caller stops reading the response.
	 * @param reservation the reservation of the response
	 */
	void keepUntilWritten(BodyBudget.Reservation reservation) {
		if (this.exchange.isComplete() || !this.exchange.getConnection().isOpen()) {
			reservation.release();
			return;
		}
		this.exchange.addExchangeCompleteListener((completedExchange, next) -> {
			reservation.release();
			stopStallTimer();
			next.proceed();
		});
		if (this.exchange.isResponseStarted() && !isStreaming()) {
			scheduleStallCheck(this.exchange.getResponseBytesSent());
		}
	}

	private void scheduleStallCheck(long bytesSent) {
		this.stallTimer = this.exchange.getIoThread()
			.executeAfter(() -> checkProgress(bytesSent), MAXIMUM_CALLER_STALL.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void checkProgress(long bytesSentBefore) {
		long bytesSent = this.exchange.getResponseBytesSent();
		if (bytesSent == bytesSentBefore) {
			onCallerStalled();
		}
		else {
			scheduleStallCheck(bytesSent);
		}
	}

	void writeError(ErrorReport report) {
		if (this.stream != null) {
			this.stream.fail(this.writer.errorEvent(this.requestId, report));
		}
		else {
			this.writer.writeError(this.exchange, this.requestId, report);
		}
	}

	/**
	 * Ends the exchange of a caller that disconnected without completing its response. A
	 * caller that only closed the sending half of its connection sees the close.
	 */
	void abort() {
		stopStallTimer();
		CallerConnections.abort(this.exchange);
	}

	@Override
	public void onBlocked() {
		this.blocked = true;
		this.flowControl.suspendUpstream();
		this.stallTimer = this.exchange.getIoThread()
			.executeAfter(this::onCallerStalled, MAXIMUM_CALLER_STALL.toMillis(), TimeUnit.MILLISECONDS);
	}

	@Override
	public void onDrained() {
		this.blocked = false;
		stopStallTimer();
		this.flowControl.resumeUpstream();
	}

	@Override
	public void onDisconnected() {
		stopStallTimer();
		this.flowControl.onCallerDisconnected();
	}

	private void onCallerStalled() {
		logger.info("Caller of request {} did not read the pending data within {} s; closing its connection",
				this.requestId, MAXIMUM_CALLER_STALL.toSeconds());
		IoUtils.safeClose(this.exchange.getConnection());
		onDisconnected();
	}

	private void stopStallTimer() {
		if (this.stallTimer != null) {
			this.stallTimer.remove();
			this.stallTimer = null;
		}
	}

	/**
	 * Controls reading from the upstream according to the state of the caller connection,
	 * and is notified when that connection is lost.
	 */
	interface FlowControl {

		/**
		 * Stops reading from the upstream.
		 */
		void suspendUpstream();

		/**
		 * Continues reading from the upstream.
		 */
		void resumeUpstream();

		/**
		 * Called when the connection to the caller was lost.
		 */
		void onCallerDisconnected();

	}

}
