package org.cyclamenstall.internal.upstream;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.kernel.MonotonicClock;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Sends a request to one upstream and reads its answer. An answer of another attempt is
 * never handed on, and an answer counts as whole only if its end is proved. Used on one
 * I/O thread; the listener hears of exactly one end.
 */
public final class UpstreamAttempt {

	private static final long UNKNOWN_MILLIS = -1;

	private final UpstreamRequest request;

	private final ListedHost upstream;

	private final String requestId;

	private final int number;

	private final ResumePoint resume;

	private final UpstreamConnections connections;

	private final MonotonicClock clock;

	private final XnioIoThread thread;

	private final AttemptListener listener;

	private @Nullable ClientConnection connection;

	private @Nullable AnswerHead head;

	private @Nullable BodyWriter body;

	private XnioExecutor.@Nullable Key timer;

	private @Nullable AnswerReader reader;

	private Duration allowedPause = Duration.ZERO;

	private long lastProgressNanos;

	private boolean sending;

	private boolean ended;

	/**
	 * Creates an attempt.
	 * @param request the request
	 * @param upstream the upstream
	 * @param requestId the identifier of the request
	 * @param number the number of the attempt
	 * @param resume how much of a stream the caller has
	 * @param connections the connections to upstreams
	 * @param thread the I/O thread to run on
	 * @param listener is told of the progress
	 */
	public UpstreamAttempt(UpstreamRequest request, ListedHost upstream, String requestId, int number,
			ResumePoint resume, UpstreamConnections connections, XnioIoThread thread, AttemptListener listener) {
		this.request = request;
		this.upstream = upstream;
		this.requestId = requestId;
		this.number = number;
		this.resume = resume;
		this.connections = connections;
		this.clock = connections.clock();
		this.thread = thread;
		this.listener = listener;
	}

	/**
	 * Connects and sends the request.
	 */
	public void start() {
		this.connections.connect(this.upstream, this.request.maximumReuseIdle(), this.request.timeouts().connect(),
				this.thread, this::connected,
				(ex) -> fail(AttemptFailure.UNREACHABLE, "the upstream refused the connection"));
	}

	/**
	 * Ends the attempt without a report, and closes its connection, which cancels the
	 * work of an engine.
	 */
	public void cancel() {
		if (end()) {
			IoUtils.safeClose(this.connection);
		}
	}

	/**
	 * Returns whether a byte of the request may have reached the upstream.
	 * @return {@code true} from the first byte on
	 */
	public boolean isSending() {
		return this.sending;
	}

	/**
	 * Stops reading the answer until {@link #resumeReads()}.
	 */
	public void suspendReads() {
		stopTimer();
		if (this.reader != null) {
			this.reader.suspend();
		}
	}

	/**
	 * Goes on reading the answer.
	 */
	public void resumeReads() {
		if (!this.ended && this.reader != null) {
			startTimer(this.request.timeouts().gap());
			this.reader.resume();
		}
	}

	private void connected(ClientConnection opened) {
		if (this.ended) {
			this.connections.release(this.upstream, opened, null, this.thread);
			return;
		}
		this.connection = opened;
		if (!this.listener.beginSending(this)) {
			this.ended = true;
			this.connections.release(this.upstream, opened, null, this.thread);
			return;
		}
		this.sending = true;
		AttemptTarget sent = new AttemptTarget(this.upstream, this.requestId, this.requestId + "-" + this.number,
				this.resume, remainingMillis());
		startTimer(this.request.timeouts().firstByte());
		opened.sendRequest(this.request.protocol().head(this.request, sent), new SendCallback(sent));
	}

	private long remainingMillis() {
		Long deadline = this.request.deadlineNanos();
		if (deadline == null) {
			return UNKNOWN_MILLIS;
		}
		return Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadline - this.clock.nanoTime()));
	}

	private void responseArrived(ClientExchange exchange, AttemptTarget sent) {
		if (this.ended) {
			return;
		}
		AnswerHead arrived = this.request.protocol().read(this.request, sent, exchange.getResponse());
		this.head = arrived;
		reportLoad(arrived);
		switch (arrived.nature()) {
			case NOT_EXECUTED -> fail(AttemptFailure.REFUSED, "the upstream answered " + arrived.status());
			case MISMATCHED -> fail(AttemptFailure.MISMATCHED, arrived.detail());
			case MALFORMED -> fail(AttemptFailure.MALFORMED, arrived.detail());
			case STREAM -> read(exchange, new StreamedAnswerReader(this, arrived,
					this.request.protocol().newStreamParser(sent), this.listener));
			default -> read(exchange, new WholeAnswerReader(this, arrived, sent, this.request.protocol()));
		}
	}

	private void read(ClientExchange exchange, AnswerReader started) {
		startTimer(this.request.timeouts().gap());
		this.reader = started;
		started.start(exchange.getResponseChannel());
	}

	private void reportLoad(AnswerHead arrived) {
		if (arrived.load() != null) {
			this.listener.loadReported(this, arrived.load());
		}
		if (arrived.draining()) {
			this.listener.upstreamDraining(this);
		}
	}

	/**
	 * Reports that bytes of the answer arrived.
	 */
	void progressed() {
		startTimer(this.request.timeouts().gap());
	}

	/**
	 * Returns whether the attempt ended.
	 * @return {@code true} if nothing may be reported any more
	 */
	boolean hasEnded() {
		return this.ended;
	}

	/**
	 * Ends the attempt with a failure and closes its connection.
	 * @param failure how it failed
	 * @param detail the detail for the caller
	 */
	void fail(AttemptFailure failure, String detail) {
		if (end()) {
			IoUtils.safeClose(this.connection);
			this.listener.failed(this, failure, detail);
		}
	}

	/**
	 * Ends the attempt with a whole answer.
	 * @param answer the answer
	 */
	void succeed(WholeAnswer answer) {
		if (end()) {
			keepConnection(true);
			this.listener.wholeAnswer(this, answer);
		}
	}

	/**
	 * Ends the attempt after the end of its stream.
	 * @param reusable whether the answer was read to its last byte
	 */
	void succeedStream(boolean reusable) {
		if (end()) {
			keepConnection(reusable);
			this.listener.streamEnded(this);
		}
	}

	private void keepConnection(boolean answerWasRead) {
		ClientConnection used = this.connection;
		if (used == null) {
			return;
		}
		boolean requestWasSent = this.body != null && this.body.isComplete();
		if (answerWasRead && requestWasSent) {
			this.connections.release(this.upstream, used, (this.head != null) ? this.head.idleTime() : null,
					this.thread);
		}
		else {
			IoUtils.safeClose(used);
		}
	}

	private boolean end() {
		if (this.ended) {
			return false;
		}
		this.ended = true;
		stopTimer();
		return true;
	}

	private void startTimer(Duration delay) {
		this.allowedPause = delay;
		this.lastProgressNanos = this.clock.nanoTime();
		if (this.timer == null) {
			schedule(delay.toNanos());
		}
	}

	/**
	 * Runs the timer once for each allowed pause instead of once for each read.
	 */
	private void checkPause() {
		this.timer = null;
		if (this.ended) {
			return;
		}
		long restNanos = this.allowedPause.toNanos() - (this.clock.nanoTime() - this.lastProgressNanos);
		if (restNanos > 0) {
			schedule(restNanos);
			return;
		}
		fail(AttemptFailure.TIMED_OUT, "the upstream sent nothing for " + this.allowedPause.toMillis() + " ms");
	}

	private void schedule(long nanos) {
		this.timer = this.thread.executeAfter(this::checkPause, nanos, TimeUnit.NANOSECONDS);
	}

	private void stopTimer() {
		if (this.timer != null) {
			this.timer.remove();
			this.timer = null;
		}
	}

	/**
	 * Writes the body once the head is queued, and waits for the answer.
	 */
	private final class SendCallback implements ClientCallback<ClientExchange> {

		private final AttemptTarget sent;

		SendCallback(AttemptTarget sent) {
			this.sent = sent;
		}

		@Override
		public void completed(ClientExchange exchange) {
			exchange.setResponseListener(new ResponseCallback(this.sent));
			BodyWriter writer = new BodyWriter(exchange.getRequestChannel(), UpstreamAttempt.this.request.body(),
					this::failed);
			UpstreamAttempt.this.body = writer;
			writer.start();
		}

		@Override
		public void failed(IOException ex) {
			fail(AttemptFailure.CONNECTION_LOST, "the connection to the upstream was lost while sending");
		}

	}

	/**
	 * Takes the answer's head. A chunked answer that is cut is reported here too, after
	 * the head.
	 */
	private final class ResponseCallback implements ClientCallback<ClientExchange> {

		private final AttemptTarget sent;

		ResponseCallback(AttemptTarget sent) {
			this.sent = sent;
		}

		@Override
		public void completed(ClientExchange exchange) {
			responseArrived(exchange, this.sent);
		}

		@Override
		public void failed(IOException ex) {
			fail(AttemptFailure.CONNECTION_LOST, "the connection to the upstream was lost");
		}

	}

}
