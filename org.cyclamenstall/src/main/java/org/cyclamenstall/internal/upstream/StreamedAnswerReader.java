package org.cyclamenstall.internal.upstream;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * Reads a stream of events. The stream is whole only if a finishing event and the end
 * mark arrived; whatever follows the end mark is ignored. Used on one I/O thread.
 */
final class StreamedAnswerReader extends AnswerReader {

	private static final String END_MARK = "[DONE]";

	private static final int MAXIMUM_EVENT_BYTES = 1_048_576;

	private final EventStreamDecoder decoder = new EventStreamDecoder(MAXIMUM_EVENT_BYTES);

	private final ModelAnswerChecker checker;

	private final AttemptListener listener;

	private boolean started;

	private boolean finished;

	StreamedAnswerReader(UpstreamAttempt attempt, ModelAnswerChecker checker, AttemptListener listener) {
		super(attempt);
		this.checker = checker;
		this.listener = listener;
	}

	@Override
	protected void read(ByteBuffer bytes) {
		try {
			handle(this.decoder.decode(bytes));
		}
		catch (EventStreamDecoder.EventTooLargeException ex) {
			attempt().fail(AttemptFailure.TOO_LARGE, "an event exceeds " + MAXIMUM_EVENT_BYTES + " bytes");
		}
		catch (ModelAnswerChecker.InvalidAnswerException ex) {
			attempt().fail(ex.failure(), ex.getMessage());
		}
	}

	@Override
	protected void ended() {
		attempt().fail(AttemptFailure.CONNECTION_LOST, "the stream ended without its end mark");
	}

	private void handle(List<String> events) {
		for (String event : events) {
			if (attempt().hasEnded()) {
				return;
			}
			if (END_MARK.equals(event)) {
				endMarkArrived();
				return;
			}
			relay(this.checker.checkEvent(event));
		}
	}

	private void relay(StreamEvent event) {
		if (this.finished && event.tokens() > 0) {
			throw new ModelAnswerChecker.InvalidAnswerException(AttemptFailure.MALFORMED,
					"the stream goes on after its end");
		}
		if (!this.started) {
			this.started = true;
			this.listener.streamStarted(attempt());
		}
		if (!attempt().hasEnded()) {
			this.finished |= event.finishing();
			this.listener.streamEvent(attempt(), event);
		}
	}

	private void endMarkArrived() {
		if (this.finished) {
			attempt().succeedStream(false);
		}
		else {
			attempt().fail(AttemptFailure.MALFORMED, "the end mark came before the reason for the end");
		}
	}

}
