package org.cyclamenstall.internal.upstream;

import java.nio.ByteBuffer;

/**
 * Reads a stream of events and hands on the whole ones. Used on one I/O thread.
 */
final class StreamedAnswerReader extends AnswerReader {

	private final AnswerHead head;

	private final StreamParser parser;

	private final AttemptListener listener;

	private boolean started;

	StreamedAnswerReader(UpstreamAttempt attempt, AnswerHead head, StreamParser parser, AttemptListener listener) {
		super(attempt);
		this.head = head;
		this.parser = parser;
		this.listener = listener;
	}

	@Override
	protected void read(ByteBuffer bytes) {
		try {
			this.parser.parse(bytes, this::relay);
		}
		catch (InvalidAnswerException ex) {
			attempt().fail(ex.failure(), ex.getMessage());
			return;
		}
		if (this.parser.isFinished()) {
			attempt().succeedStream(false);
		}
	}

	@Override
	protected void ended() {
		if (this.started && this.parser.mayEndHere()) {
			attempt().succeedStream(true);
		}
		else {
			attempt().fail(AttemptFailure.CONNECTION_LOST, "the stream ended without its end mark");
		}
	}

	private void relay(StreamEvent event) {
		if (attempt().hasEnded()) {
			return;
		}
		if (!this.started) {
			this.started = true;
			this.listener.streamStarted(attempt(), this.head);
		}
		if (!attempt().hasEnded()) {
			this.listener.streamEvent(attempt(), event);
		}
	}

}
