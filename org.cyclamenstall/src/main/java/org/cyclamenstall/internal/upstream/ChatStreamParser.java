package org.cyclamenstall.internal.upstream;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * Parses a stream of chat-completion events. The stream is whole only if a finishing
 * event and the end mark arrived. Not thread-safe.
 */
final class ChatStreamParser implements StreamParser {

	private static final String END_MARK = "[DONE]";

	private static final int MAXIMUM_EVENT_BYTES = 1_048_576;

	private final EventStreamDecoder decoder = new EventStreamDecoder(MAXIMUM_EVENT_BYTES);

	private final ChatAnswerChecker checker;

	private boolean finishing;

	private boolean finished;

	ChatStreamParser(ChatAnswerChecker checker) {
		this.checker = checker;
	}

	@Override
	public void parse(ByteBuffer bytes, Consumer<StreamEvent> sink) {
		try {
			for (String event : this.decoder.decode(bytes)) {
				if (!this.finished) {
					take(event, sink);
				}
			}
		}
		catch (EventStreamDecoder.EventTooLargeException ex) {
			throw new InvalidAnswerException(AttemptFailure.TOO_LARGE,
					"an event exceeds " + MAXIMUM_EVENT_BYTES + " bytes");
		}
	}

	@Override
	public boolean isFinished() {
		return this.finished;
	}

	@Override
	public boolean mayEndHere() {
		return false;
	}

	private void take(String data, Consumer<StreamEvent> sink) {
		if (END_MARK.equals(data)) {
			if (!this.finishing) {
				throw new InvalidAnswerException(AttemptFailure.MALFORMED,
						"the end mark came before the reason for the end");
			}
			this.finished = true;
			return;
		}
		ChatAnswerChecker.CheckedEvent event = this.checker.checkEvent(data);
		if (this.finishing && event.tokens() > 0) {
			throw new InvalidAnswerException(AttemptFailure.MALFORMED, "the stream goes on after its end");
		}
		sink.accept(new StreamEvent(ChatUpstreamProtocol.event(event.data()), event.tokens(), null));
		this.finishing |= event.finishing();
	}

}
