package org.cyclamenstall.internal.upstream;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * Parses a stream of chat-completion events. The stream is complete only after an event
 * with a finish reason and the end marker. Not thread-safe.
 */
final class ChatStreamParser implements StreamParser {

	private static final String END_MARKER = "[DONE]";

	private static final int MAXIMUM_EVENT_BYTES = 1_048_576;

	private final EventStreamDecoder decoder = new EventStreamDecoder(MAXIMUM_EVENT_BYTES);

	private final ChatResponseValidator validator;

	private boolean finishReasonSeen;

	private boolean finished;

	ChatStreamParser(ChatResponseValidator validator) {
		this.validator = validator;
	}

	@Override
	public void parse(ByteBuffer bytes, Consumer<StreamEvent> sink) {
		try {
			for (String event : this.decoder.decode(bytes)) {
				if (!this.finished) {
					handleEvent(event, sink);
				}
			}
		}
		catch (EventStreamDecoder.EventTooLargeException ex) {
			throw new InvalidResponseException(AttemptFailure.TOO_LARGE,
					"an event exceeds " + MAXIMUM_EVENT_BYTES + " bytes");
		}
	}

	@Override
	public boolean isFinished() {
		return this.finished;
	}

	@Override
	public boolean isCompleteOnClose() {
		return false;
	}

	private void handleEvent(String data, Consumer<StreamEvent> sink) {
		if (END_MARKER.equals(data)) {
			if (!this.finishReasonSeen) {
				throw new InvalidResponseException(AttemptFailure.MALFORMED,
						"the end marker was received before a finish reason");
			}
			this.finished = true;
			return;
		}
		ChatResponseValidator.ValidatedEvent event = this.validator.validateEvent(data);
		if (this.finishReasonSeen && event.tokens() > 0) {
			throw new InvalidResponseException(AttemptFailure.MALFORMED,
					"the stream contains tokens after its finish reason");
		}
		sink.accept(new StreamEvent(ChatUpstreamProtocol.encodeEvent(event.data()), event.tokens(), null));
		this.finishReasonSeen |= event.finishing();
	}

}
