package org.cyclamenstall.internal.upstream;

import java.nio.ByteBuffer;

/**
 * Reads a stream of events and passes complete events to the listener. Used on one I/O
 * thread.
 */
final class StreamedResponseReader extends ResponseReader {

	private final ResponseHead responseHead;

	private final StreamParser parser;

	private final AttemptListener listener;

	private boolean started;

	StreamedResponseReader(UpstreamAttempt attempt, ResponseHead responseHead, StreamParser parser,
			AttemptListener listener) {
		super(attempt);
		this.responseHead = responseHead;
		this.parser = parser;
		this.listener = listener;
	}

	@Override
	protected void processBytes(ByteBuffer bytes) {
		try {
			this.parser.parse(bytes, this::relayEvent);
		}
		catch (InvalidResponseException ex) {
			attempt().fail(ex.failure(), ex.getMessage());
			return;
		}
		if (this.parser.isFinished()) {
			attempt().succeedStream(false);
		}
	}

	@Override
	protected void onEnd() {
		if (this.started && this.parser.isCompleteOnClose()) {
			attempt().succeedStream(isFullyRead());
		}
		else {
			attempt().fail(AttemptFailure.CONNECTION_LOST, "the stream was truncated");
		}
	}

	private void relayEvent(StreamEvent event) {
		if (attempt().hasEnded()) {
			return;
		}
		if (!this.started) {
			this.started = true;
			this.listener.onStreamStarted(attempt(), this.responseHead);
		}
		if (!attempt().hasEnded()) {
			this.listener.onStreamEvent(attempt(), event);
		}
	}

}
