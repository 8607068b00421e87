package org.cyclamenstall.internal.upstream;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.http.BodyBudget;
import org.cyclamenstall.internal.http.ClientConnections;
import org.cyclamenstall.internal.http.ResponseSyntaxException;
import org.cyclamenstall.internal.http.VerifiedResponseSource;
import org.cyclamenstall.kernel.MonotonicClock;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Sends a request to one upstream and reads its response. A response to another attempt
 * is never passed on, nor one that violates HTTP, and a response whose end cannot be
 * verified counts as truncated. Used on one I/O thread; the listener is notified at most
 * once of the end of the attempt.
 */
public final class UpstreamAttempt {

	private static final long NO_DEADLINE_MILLIS = -1;

	/** Lowest status of a final response; those below announce one. */
	private static final int FIRST_FINAL_STATUS = 200;

	private final UpstreamRequest request;

	private final ListedHost upstream;

	private final String requestId;

	private final int number;

	private final ResumePoint resumePoint;

	private final UpstreamConnectionPool connectionPool;

	private final MonotonicClock clock;

	private final XnioIoThread thread;

	private final AttemptListener listener;

	private @Nullable ClientConnection connection;

	private @Nullable ResponseHead responseHead;

	private @Nullable BodyWriter bodyWriter;

	private XnioExecutor.@Nullable Key timer;

	private @Nullable ResponseReader reader;

	private Duration readTimeout = Duration.ZERO;

	private long lastProgressNanos;

	private boolean sendingStarted;

	private boolean ended;

	/**
	 * Creates an attempt.
	 * @param request the request
	 * @param upstream the upstream
	 * @param requestId the identifier of the request
	 * @param number the number of the attempt, from 1
	 * @param resumePoint how much of a stream has already been relayed
	 * @param connectionPool the pool of connections to upstreams
	 * @param thread the I/O thread to run on
	 * @param listener receives the progress of the attempt
	 */
	public UpstreamAttempt(UpstreamRequest request, ListedHost upstream, String requestId, int number,
			ResumePoint resumePoint, UpstreamConnectionPool connectionPool, XnioIoThread thread,
			AttemptListener listener) {
		this.request = request;
		this.upstream = upstream;
		this.requestId = requestId;
		this.number = number;
		this.resumePoint = resumePoint;
		this.connectionPool = connectionPool;
		this.clock = connectionPool.clock();
		this.thread = thread;
		this.listener = listener;
	}

	/**
	 * Connects to the upstream and sends the request.
	 * @param onNewConnection whether to use no pooled connection
	 */
	public void start(boolean onNewConnection) {
		Duration maximumIdle = onNewConnection ? Duration.ZERO : this.request.maximumIdle();
		this.connectionPool.acquire(this.upstream, maximumIdle, this.request.timeouts().connect(), this.thread,
				this::onConnected,
				(ex) -> fail(AttemptFailure.UNREACHABLE, "no connection to the upstream could be established"));
	}

	/**
	 * Ends the attempt without notifying the listener and closes its connection, which
	 * makes an engine cancel its work.
	 */
	public void cancel() {
		if (end()) {
			ClientConnections.abort(this.connection);
		}
	}

	/**
	 * Returns whether a byte of the request may have reached the upstream.
	 * @return {@code true} once sending has started
	 */
	public boolean hasStartedSending() {
		return this.sendingStarted;
	}

	/**
	 * Stops reading the response, and stops the read timeout, until
	 * {@link #resumeReads()}.
	 */
	public void suspendReads() {
		stopTimer();
		if (this.reader != null) {
			this.reader.suspend();
		}
	}

	/**
	 * Continues reading the response and restarts the read timeout.
	 */
	public void resumeReads() {
		if (!this.ended && this.reader != null) {
			startTimer(this.request.timeouts().gap());
			this.reader.resume();
		}
	}

	private void onConnected(ClientConnection newConnection) {
		if (this.ended) {
			this.connectionPool.release(this.upstream, newConnection, null, this.thread);
			return;
		}
		this.connection = newConnection;
		if (!this.listener.beginSending(this)) {
			this.ended = true;
			this.connectionPool.release(this.upstream, newConnection, null, this.thread);
			return;
		}
		this.sendingStarted = true;
		AttemptContext context = new AttemptContext(this.upstream, this.requestId, this.requestId + "-" + this.number,
				this.resumePoint, remainingMillis());
		startTimer(this.request.timeouts().firstByte());
		VerifiedResponseSource.of(newConnection).expectResponse(this.request.method());
		newConnection.sendRequest(this.request.protocol().buildRequest(this.request, context),
				new SendCallback(context));
	}

	private long remainingMillis() {
		Long deadline = this.request.deadlineNanos();
		if (deadline == null) {
			return NO_DEADLINE_MILLIS;
		}
		return Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadline - this.clock.nanoTime()));
	}

	private void onResponse(ClientExchange exchange, AttemptContext context) {
		if (this.ended) {
			return;
		}
		int status = exchange.getResponse().getResponseCode();
		if (status < FIRST_FINAL_STATUS) {
			// The client ends its exchange with an interim response, so the final one
			// could not be assigned to it.
			fail(AttemptFailure.MALFORMED, "the upstream sent an interim response with status " + status);
			return;
		}
		ResponseHead responseHead = this.request.protocol().parseHead(this.request, context, exchange.getResponse());
		this.responseHead = responseHead;
		reportLoad(responseHead);
		switch (responseHead.kind()) {
			case NOT_EXECUTED ->
				fail(AttemptFailure.REFUSED, "the upstream responded with status " + responseHead.status());
			case MISMATCHED -> fail(AttemptFailure.MISMATCHED, responseHead.detail());
			case MALFORMED -> fail(AttemptFailure.MALFORMED, responseHead.detail());
			case STREAM -> read(exchange, new StreamedResponseReader(this, responseHead,
					this.request.protocol().newStreamParser(context), this.listener));
			default -> read(exchange, new BufferedResponseReader(this, responseHead, context, this.request.protocol(),
					this.connectionPool.bodyBudget()));
		}
	}

	private void read(ClientExchange exchange, ResponseReader newReader) {
		startTimer(this.request.timeouts().gap());
		this.reader = newReader;
		newReader.start(exchange.getResponseChannel(), VerifiedResponseSource.of(exchange.getConnection()));
	}

	private void reportLoad(ResponseHead responseHead) {
		if (responseHead.load() != null) {
			this.listener.onLoadReported(this, responseHead.load());
		}
		if (responseHead.draining()) {
			this.listener.onUpstreamDraining(this);
		}
		if (responseHead.unavailableFor() != null) {
			this.listener.onUpstreamUnavailable(this, responseHead.unavailableFor());
		}
	}

	/**
	 * Called when bytes of the response were received; restarts the read timeout.
	 */
	void onProgress() {
		startTimer(this.request.timeouts().gap());
	}

	/**
	 * Returns whether the attempt has ended.
	 * @return {@code true} if the listener must not be notified any more
	 */
	boolean hasEnded() {
		return this.ended;
	}

	/**
	 * Checks the end of the response, and fails the attempt if the response may not be
	 * complete. An upstream that closes the connection before it has received the whole
	 * request breaks off its response, if nothing else marks its end.
	 * @param source the source of the response
	 * @param bodyBytes the number of bytes of the body that were received
	 * @return {@code true} if the response is complete
	 */
	boolean checkEnd(VerifiedResponseSource source, long bodyBytes) {
		if (!source.isComplete(bodyBytes)) {
			fail(AttemptFailure.MALFORMED, "the body of the response does not match its framing");
			return false;
		}
		if (source.isEndedByClose() && !isRequestFullySent()) {
			fail(AttemptFailure.CONNECTION_LOST, "the connection ended before the request was sent completely");
			return false;
		}
		return true;
	}

	/**
	 * Ends the attempt after an error on its connection.
	 * @param cause the error
	 * @param detail the detail message if the response did not violate HTTP
	 */
	void fail(IOException cause, String detail) {
		if (cause instanceof ResponseSyntaxException) {
			fail(AttemptFailure.MALFORMED, "the response is malformed: " + cause.getMessage());
		}
		else {
			fail(AttemptFailure.CONNECTION_LOST, detail);
		}
	}

	/**
	 * Ends the attempt with a failure and closes its connection.
	 * @param failure the kind of failure
	 * @param detail the detail message for the caller
	 */
	void fail(AttemptFailure failure, String detail) {
		if (end()) {
			ClientConnections.abort(this.connection);
			this.listener.onFailed(this, failure, detail);
		}
	}

	/**
	 * Ends the attempt with a buffered response, and pools its connection if both the
	 * request and the response were transferred completely.
	 * @param response the response
	 * @param reservation the reservation of its memory
	 * @param fullyRead whether the response body was read to its end
	 */
	void succeed(BufferedResponse response, BodyBudget.Reservation reservation, boolean fullyRead) {
		if (end()) {
			releaseConnection(fullyRead);
			this.listener.onResponse(this, response, reservation);
		}
		else {
			reservation.release();
		}
	}

	/**
	 * Ends the attempt after a complete stream, and pools its connection if both the
	 * request and the response were transferred completely.
	 * @param fullyRead whether the response body was read to its end
	 */
	void succeedStream(boolean fullyRead) {
		if (end()) {
			releaseConnection(fullyRead);
			this.listener.onStreamEnded(this);
		}
	}

	private void releaseConnection(boolean fullyRead) {
		ClientConnection releasedConnection = this.connection;
		if (releasedConnection == null) {
			return;
		}
		if (fullyRead && isRequestFullySent() && VerifiedResponseSource.of(releasedConnection).isReusable()) {
			this.connectionPool.release(this.upstream, releasedConnection,
					(this.responseHead != null) ? this.responseHead.idleTimeout() : null, this.thread);
		}
		else {
			ClientConnections.abort(releasedConnection);
		}
	}

	private boolean isRequestFullySent() {
		return this.bodyWriter != null && this.bodyWriter.isComplete();
	}

	private boolean end() {
		if (this.ended) {
			return false;
		}
		this.ended = true;
		stopTimer();
		if (this.reader != null) {
			this.reader.onAttemptEnded();
		}
		return true;
	}

	private void startTimer(Duration timeout) {
		this.readTimeout = timeout;
		this.lastProgressNanos = this.clock.nanoTime();
		if (this.timer == null) {
			schedule(timeout.toNanos());
		}
	}

	/**
	 * Checks the time since the last read. A read does not reschedule the timer; a timer
	 * that fires too early is scheduled again for the remaining time.
	 */
	private void checkReadTimeout() {
		this.timer = null;
		if (this.ended) {
			return;
		}
		long remainingNanos = this.readTimeout.toNanos() - (this.clock.nanoTime() - this.lastProgressNanos);
		if (remainingNanos > 0) {
			schedule(remainingNanos);
			return;
		}
		String detail = "the upstream sent no data for " + this.readTimeout.toMillis() + " ms";
		if (!this.listener.continuesAfterTimeout(this, detail)) {
			fail(AttemptFailure.TIMED_OUT, detail);
		}
		else if (!this.ended) {
			startTimer(this.readTimeout);
		}
	}

	private void schedule(long nanos) {
		this.timer = this.thread.executeAfter(this::checkReadTimeout, nanos, TimeUnit.NANOSECONDS);
	}

	private void stopTimer() {
		if (this.timer != null) {
			this.timer.remove();
			this.timer = null;
		}
	}

	/**
	 * Writes the body after the request headers were queued, and registers for the
	 * response.
	 */
	private final class SendCallback implements ClientCallback<ClientExchange> {

		private final AttemptContext context;

		SendCallback(AttemptContext context) {
			this.context = context;
		}

		@Override
		public void completed(ClientExchange exchange) {
			exchange.setResponseListener(new ResponseCallback(this.context));
			BodyWriter writer = new BodyWriter(exchange.getRequestChannel(), UpstreamAttempt.this.request.body(),
					this::failed);
			UpstreamAttempt.this.bodyWriter = writer;
			writer.start();
		}

		@Override
		public void failed(IOException ex) {
			fail(ex, "the connection to the upstream was lost while sending");
		}

	}

	/**
	 * Handles the response headers. Undertow also calls {@code failed} for a chunked
	 * response that is truncated after the headers.
	 */
	private final class ResponseCallback implements ClientCallback<ClientExchange> {

		private final AttemptContext context;

		ResponseCallback(AttemptContext context) {
			this.context = context;
		}

		@Override
		public void completed(ClientExchange exchange) {
			onResponse(exchange, this.context);
		}

		@Override
		public void failed(IOException ex) {
			fail(ex, "the connection to the upstream was lost");
		}

	}

}
