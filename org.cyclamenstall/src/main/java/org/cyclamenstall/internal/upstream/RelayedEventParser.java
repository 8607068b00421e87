package org.cyclamenstall.internal.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

/**
 * Splits a stream into complete events without changing their bytes. Events must have
 * consecutive numbers as identifiers: events that were already relayed are skipped, a gap
 * is an error. The stream may end after any complete event. Not thread-safe.
 */
public final class RelayedEventParser implements StreamParser {

	private static final int MAXIMUM_EVENT_BYTES = 1_048_576;

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private final int tokensPerEvent;

	private final ByteArrayOutputStream event = new ByteArrayOutputStream(256);

	private @Nullable Long lastId;

	private int lineStart;

	private @Nullable String id;

	/**
	 * Creates a parser.
	 * @param lastEventId the identifier of the last event that was relayed, or
	 * {@code null} if the stream may start with any event
	 * @param tokensPerEvent the number of tokens in each event
	 */
	public RelayedEventParser(@Nullable String lastEventId, int tokensPerEvent) {
		this.lastId = (lastEventId != null) ? parseNumber(lastEventId) : null;
		this.tokensPerEvent = tokensPerEvent;
	}

	@Override
	public void parse(ByteBuffer bytes, Consumer<StreamEvent> sink) {
		while (bytes.hasRemaining()) {
			byte next = bytes.get();
			this.event.write(next);
			if (next == '\n') {
				endLine(sink);
			}
			else if (this.event.size() > MAXIMUM_EVENT_BYTES) {
				throw new InvalidResponseException(AttemptFailure.TOO_LARGE,
						"an event exceeds " + MAXIMUM_EVENT_BYTES + " bytes");
			}
		}
	}

	@Override
	public boolean isFinished() {
		return false;
	}

	@Override
	public boolean isCompleteOnClose() {
		return this.event.size() == 0;
	}

	private void endLine(Consumer<StreamEvent> sink) {
		byte[] bytes = this.event.toByteArray();
		int end = bytes.length - 1;
		if (end > this.lineStart && bytes[end - 1] == '\r') {
			end--;
		}
		if (end == this.lineStart) {
			endEvent(bytes, sink);
			return;
		}
		if (startsWithId(bytes, end)) {
			this.id = new String(bytes, this.lineStart + ID_FIELD.length, end - this.lineStart - ID_FIELD.length,
					StandardCharsets.US_ASCII)
				.trim();
		}
		this.lineStart = bytes.length;
	}

	private boolean startsWithId(byte[] bytes, int end) {
		if (end - this.lineStart < ID_FIELD.length) {
			return false;
		}
		for (int index = 0; index < ID_FIELD.length; index++) {
			if (bytes[this.lineStart + index] != ID_FIELD[index]) {
				return false;
			}
		}
		return true;
	}

	private void endEvent(byte[] bytes, Consumer<StreamEvent> sink) {
		String eventId = this.id;
		this.event.reset();
		this.lineStart = 0;
		this.id = null;
		if (eventId == null) {
			throw new InvalidResponseException(AttemptFailure.MALFORMED, "an event has no identifier");
		}
		long number = parseNumber(eventId);
		Long last = this.lastId;
		if (last != null && number <= last) {
			return;
		}
		if (last != null && number != last + 1) {
			throw new InvalidResponseException(AttemptFailure.MALFORMED,
					"event " + number + " follows event " + last + " of the stream");
		}
		this.lastId = number;
		sink.accept(new StreamEvent(bytes, this.tokensPerEvent, eventId));
	}

	private static long parseNumber(String text) {
		try {
			return Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			throw new InvalidResponseException(AttemptFailure.MALFORMED, "the identifier of an event is not a number");
		}
	}

}
