package org.cyclamenstall.internal.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

/**
 * Splits a stream into complete events without changing their bytes. Events must have
 * consecutive numbers as identifiers: a gap and an event that comes twice are errors. A
 * resumed stream may begin with events that were already relayed; they are skipped. The
 * stream may end after any complete event.
 * <p>
 * Invariants: the time to parse is proportional to the number of bytes, whatever they
 * are, and at most one event is held in memory. Not thread-safe.
 */
public final class RelayedEventParser implements StreamParser {

	private static final int MAXIMUM_EVENT_BYTES = 65_536;

	private static final String ID_FIELD = "id:";

	private final int tokensPerEvent;

	/** Identifier of the last event that was relayed from an earlier response. */
	private final @Nullable Long relayedId;

	private final ByteArrayOutputStream event = new ByteArrayOutputStream(256);

	private final ByteArrayOutputStream line = new ByteArrayOutputStream(64);

	/** Identifier of the previous event of this response. */
	private @Nullable Long previousId;

	private @Nullable String id;

	/**
	 * Creates a parser.
	 * @param lastEventId the identifier of the last event that was relayed, or
	 * {@code null} if the stream may start with any event
	 * @param tokensPerEvent the number of tokens in each event
	 */
	public RelayedEventParser(@Nullable String lastEventId, int tokensPerEvent) {
		this.relayedId = (lastEventId != null) ? parseNumber(lastEventId) : null;
		this.tokensPerEvent = tokensPerEvent;
	}

	@Override
	public void parse(ByteBuffer bytes, Consumer<StreamEvent> sink) {
		while (bytes.hasRemaining()) {
			int lineEnd = indexOfLineEnd(bytes);
			append(bytes, (lineEnd >= 0) ? lineEnd + 1 - bytes.position() : bytes.remaining());
			if (lineEnd >= 0) {
				endLine(sink);
			}
		}
	}

	private static int indexOfLineEnd(ByteBuffer bytes) {
		for (int index = bytes.position(); index < bytes.limit(); index++) {
			if (bytes.get(index) == '\n') {
				return index;
			}
		}
		return -1;
	}

	private void append(ByteBuffer bytes, int count) {
		if (this.event.size() + count > MAXIMUM_EVENT_BYTES) {
			throw new InvalidResponseException(AttemptFailure.TOO_LARGE,
					"an event exceeds " + MAXIMUM_EVENT_BYTES + " bytes");
		}
		int start = bytes.arrayOffset() + bytes.position();
		this.event.write(bytes.array(), start, count);
		this.line.write(bytes.array(), start, count);
		bytes.position(bytes.position() + count);
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
		String text = this.line.toString(StandardCharsets.ISO_8859_1);
		this.line.reset();
		int end = text.endsWith("\r\n") ? text.length() - 2 : text.length() - 1;
		if (end == 0) {
			endEvent(sink);
		}
		else if (text.startsWith(ID_FIELD)) {
			this.id = text.substring(ID_FIELD.length(), end).trim();
		}
	}

	private void endEvent(Consumer<StreamEvent> sink) {
		String eventId = this.id;
		byte[] bytes = this.event.toByteArray();
		this.event.reset();
		this.id = null;
		if (eventId == null) {
			throw new InvalidResponseException(AttemptFailure.MALFORMED, "an event has no identifier");
		}
		long number = parseNumber(eventId);
		boolean wasRelayed = this.relayedId != null && number <= this.relayedId;
		Long previous = (this.previousId != null) ? this.previousId : this.relayedId;
		boolean beginsBefore = this.previousId == null && wasRelayed;
		if (previous != null && number != previous + 1 && !beginsBefore) {
			throw new InvalidResponseException(AttemptFailure.MALFORMED,
					"event " + number + " follows event " + previous + " of the stream");
		}
		this.previousId = number;
		if (!wasRelayed) {
			sink.accept(new StreamEvent(bytes, this.tokensPerEvent, eventId));
		}
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
