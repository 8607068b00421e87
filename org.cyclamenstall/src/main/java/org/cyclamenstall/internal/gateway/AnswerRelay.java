package org.cyclamenstall.internal.gateway;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.internal.upstream.AnswerHead;
import org.cyclamenstall.internal.upstream.StreamEvent;
import org.cyclamenstall.internal.upstream.WholeAnswer;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Writes the one answer of a request to its caller, at the caller's pace. A stream keeps
 * the head of its first upstream. Used on the I/O thread of the exchange.
 */
final class AnswerRelay implements CallerStream.Listener {

	private static final Logger logger = LogManager.getLogger(AnswerRelay.class);

	private static final Duration MAXIMUM_CALLER_STALL = Duration.ofSeconds(30);

	private final HttpServerExchange exchange;

	private final String requestId;

	private final AnswerWriter writer;

	private final Pace pace;

	private @Nullable CallerStream stream;

	private XnioExecutor.@Nullable Key stallTimer;

	private boolean blocked;

	AnswerRelay(HttpServerExchange exchange, String requestId, AnswerWriter writer, Pace pace) {
		this.exchange = exchange;
		this.requestId = requestId;
		this.writer = writer;
		this.pace = pace;
	}

	/**
	 * Returns whether the head of a stream was written.
	 * @return {@code true} once a stream has begun
	 */
	boolean isStreaming() {
		return this.stream != null;
	}

	/**
	 * Returns whether the caller reads more slowly than the upstream sends.
	 * @return {@code true} if bytes wait to be written
	 */
	boolean isBlocked() {
		return this.blocked;
	}

	void streamHead(String upstream, AnswerHead head) {
		this.writer.streamHead(this.exchange, this.requestId, upstream, head);
		this.stream = new CallerStream(this.exchange, this);
	}

	void event(StreamEvent event) {
		if (this.stream != null) {
			this.stream.event(event.bytes());
		}
	}

	void finishStream() {
		if (this.stream != null) {
			this.stream.finish(this.writer.streamEnd());
		}
	}

	void whole(@Nullable String upstream, WholeAnswer answer) {
		this.writer.whole(this.exchange, this.requestId, upstream, answer);
	}

	void error(ErrorReport report) {
		if (this.stream != null) {
			this.stream.fail(this.writer.streamError(this.requestId, report));
		}
		else {
			this.writer.error(this.exchange, this.requestId, report);
		}
	}

	/**
	 * Ends the exchange of a caller that left.
	 */
	void abandon() {
		stopStallTimer();
		this.exchange.endExchange();
	}

	@Override
	public void blocked() {
		this.blocked = true;
		this.pace.suspend();
		this.stallTimer = this.exchange.getIoThread()
			.executeAfter(this::callerStalled, MAXIMUM_CALLER_STALL.toMillis(), TimeUnit.MILLISECONDS);
	}

	@Override
	public void drained() {
		this.blocked = false;
		stopStallTimer();
		this.pace.resume();
	}

	@Override
	public void broken() {
		stopStallTimer();
		this.pace.callerGone();
	}

	private void callerStalled() {
		logger.info("Caller of {} read nothing for {} s", this.requestId, MAXIMUM_CALLER_STALL.toSeconds());
		IoUtils.safeClose(this.exchange.getConnection());
		broken();
	}

	private void stopStallTimer() {
		if (this.stallTimer != null) {
			this.stallTimer.remove();
			this.stallTimer = null;
		}
	}

	/**
	 * Is told of the pace of the caller.
	 */
	interface Pace {

		/**
		 * Asks to stop reading from the upstream.
		 */
		void suspend();

		/**
		 * Asks to go on reading from the upstream.
		 */
		void resume();

		/**
		 * Reports that the caller cannot be reached any more.
		 */
		void callerGone();

	}

}
