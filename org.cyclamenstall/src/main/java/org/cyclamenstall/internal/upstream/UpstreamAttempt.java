package org.cyclamenstall.internal.upstream;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.lib.HeaderNames;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;

/**
 * Sends a request to one upstream and reads its answer. An answer without this attempt's
 * identifier is never handed on, and a stream counts as ended only by its end mark. Used
 * on one I/O thread; the listener hears of exactly one end.
 */
public final class UpstreamAttempt {

	private static final HttpString REQUEST_ID = new HttpString(HeaderNames.REQUEST_ID);

	private static final HttpString RESUME_TOKENS = new HttpString(HeaderNames.RESUME_TOKENS);

	private static final HttpString DRAINING = new HttpString(HeaderNames.DRAINING);

	private static final int STATUS_OK = 200;

	private static final int STATUS_SERVER_ERROR = 500;

	private final UpstreamRequest request;

	private final ListedHost upstream;

	private final String attemptId;

	private final ModelAnswerChecker checker;

	private final long resumeTokens;

	private final UpstreamConnections connections;

	private final XnioIoThread thread;

	private final AttemptListener listener;

	private @Nullable ClientConnection connection;

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
	 * @param resumeTokens the generated tokens that the caller has already
	 * @param connections the connections to upstreams
	 * @param thread the I/O thread to run on
	 * @param listener is told of the progress
	 */
	public UpstreamAttempt(UpstreamRequest request, ListedHost upstream, String requestId, int number,
			long resumeTokens, UpstreamConnections connections, XnioIoThread thread, AttemptListener listener) {
		this.request = request;
		this.upstream = upstream;
		this.attemptId = requestId + "-" + number;
		this.checker = new ModelAnswerChecker(this.attemptId, requestId);
		this.resumeTokens = resumeTokens;
		this.connections = connections;
		this.thread = thread;
		this.listener = listener;
	}

	/**
	 * Connects and sends the request.
	 */
	public void start() {
		this.connections.connect(this.upstream, this.request.reusable(), this.request.timeouts().connect(), this.thread,
				this::connected, (ex) -> fail(AttemptFailure.UNREACHABLE, "the upstream refused the connection"));
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
			this.connections.release(this.upstream, opened, this.thread);
			return;
		}
		this.connection = opened;
		if (!this.listener.beginSending(this)) {
			this.ended = true;
			this.connections.release(this.upstream, opened, this.thread);
			return;
		}
		this.sending = true;
		startTimer(this.request.timeouts().firstByte());
		opened.sendRequest(head(), new SendCallback());
	}

	private ClientRequest head() {
		ClientRequest head = new ClientRequest().setMethod(this.request.method()).setPath(this.request.target());
		HeaderMap headers = head.getRequestHeaders();
		this.request.headers().forEach((value) -> headers.addAll(value.getHeaderName(), value));
		headers.put(Headers.HOST, this.upstream.address() + ":" + this.upstream.port());
		headers.put(Headers.CONTENT_LENGTH, this.request.body().length);
		headers.put(REQUEST_ID, this.attemptId);
		if (this.resumeTokens > 0) {
			headers.put(RESUME_TOKENS, this.resumeTokens);
		}
		return head;
	}

	private void responseArrived(ClientExchange exchange) {
		if (this.ended) {
			return;
		}
		ClientResponse response = exchange.getResponse();
		HeaderMap headers = response.getResponseHeaders();
		reportLoad(headers);
		if (isRefusal(response)) {
			fail(AttemptFailure.REFUSED, "the upstream answered " + response.getResponseCode());
			return;
		}
		String echoed = headers.getFirst(REQUEST_ID);
		if ((echoed != null) ? !echoed.equals(this.attemptId) : this.request.model()) {
			fail(AttemptFailure.MISMATCHED, "the answer does not carry the identifier of this attempt");
			return;
		}
		if (this.request.model() && response.getResponseCode() >= STATUS_SERVER_ERROR) {
			fail(AttemptFailure.MALFORMED, "the engine answered " + response.getResponseCode());
			return;
		}
		startTimer(this.request.timeouts().gap());
		this.reader = readerFor(response);
		this.reader.start(exchange.getResponseChannel());
	}

	private AnswerReader readerFor(ClientResponse response) {
		if (this.request.streamed() && response.getResponseCode() == STATUS_OK) {
			return new StreamedAnswerReader(this, this.checker, this.listener);
		}
		ModelAnswerChecker whole = (this.request.model() && response.getResponseCode() == STATUS_OK) ? this.checker
				: null;
		return new WholeAnswerReader(this, response, whole);
	}

	private boolean isRefusal(ClientResponse response) {
		return this.request.notExecutedStatuses().contains(response.getResponseCode());
	}

	private void reportLoad(HeaderMap headers) {
		int running = number(headers.getFirst(HeaderNames.ENGINE_RUNNING));
		int slots = number(headers.getFirst(HeaderNames.ENGINE_SLOTS));
		if (running >= 0 && slots > 0) {
			this.listener.loadReported(this, running, slots,
					Math.max(0, number(headers.getFirst(HeaderNames.ENGINE_REPORT_AGE))));
		}
		if (Boolean.parseBoolean(headers.getFirst(DRAINING))) {
			this.listener.upstreamDraining(this);
		}
	}

	private static int number(@Nullable String text) {
		try {
			return (text != null) ? Integer.parseInt(text) : -1;
		}
		catch (NumberFormatException ex) {
			return -1;
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
	 * Ends the attempt after the end mark of its stream.
	 * @param reusable whether the answer was read to its last byte
	 */
	void succeedStream(boolean reusable) {
		if (end()) {
			keepConnection(reusable);
			this.listener.streamEnded(this);
		}
	}

	private void keepConnection(boolean reusable) {
		ClientConnection used = this.connection;
		if (used == null) {
			return;
		}
		if (reusable && this.request.reusable()) {
			this.connections.release(this.upstream, used, this.thread);
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
		this.lastProgressNanos = System.nanoTime();
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
		long restNanos = this.allowedPause.toNanos() - (System.nanoTime() - this.lastProgressNanos);
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

		@Override
		public void completed(ClientExchange exchange) {
			exchange.setResponseListener(new ResponseCallback());
			try {
				write(exchange.getRequestChannel(), ByteBuffer.wrap(UpstreamAttempt.this.request.body()));
			}
			catch (IOException ex) {
				failed(ex);
			}
		}

		@Override
		public void failed(IOException ex) {
			fail(AttemptFailure.CONNECTION_LOST, "the connection to the upstream was lost while sending");
		}

		private void write(StreamSinkChannel channel, ByteBuffer body) throws IOException {
			while (body.hasRemaining()) {
				if (channel.write(body) == 0) {
					awaitWritable(channel, body);
					return;
				}
			}
			channel.shutdownWrites();
			if (!channel.flush()) {
				awaitWritable(channel, body);
			}
			else {
				channel.suspendWrites();
			}
		}

		private void awaitWritable(StreamSinkChannel channel, ByteBuffer body) {
			channel.getWriteSetter().set((writable) -> {
				try {
					write(channel, body);
				}
				catch (IOException ex) {
					failed(ex);
				}
			});
			channel.resumeWrites();
		}

	}

	/**
	 * Takes the answer's head. A chunked answer that is cut is reported here too, after
	 * the head.
	 */
	private final class ResponseCallback implements ClientCallback<ClientExchange> {

		@Override
		public void completed(ClientExchange exchange) {
			responseArrived(exchange);
		}

		@Override
		public void failed(IOException ex) {
			fail(AttemptFailure.CONNECTION_LOST, "the connection to the upstream was lost");
		}

	}

}
