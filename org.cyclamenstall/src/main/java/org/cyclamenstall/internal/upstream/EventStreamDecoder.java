package org.cyclamenstall.internal.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Extracts the data of the events from a server-sent event stream. Comments and other
 * fields are ignored. Not thread-safe.
 */
public final class EventStreamDecoder {

	private static final String DATA_FIELD = "data:";

	private final int maximumEventBytes;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private final StringBuilder data = new StringBuilder();

	private boolean hasData;

	/**
	 * Creates a decoder.
	 * @param maximumEventBytes the maximum size of an event, in bytes
	 */
	public EventStreamDecoder(int maximumEventBytes) {
		this.maximumEventBytes = maximumEventBytes;
	}

	/**
	 * Decodes further bytes of the stream.
	 * @param bytes the bytes; consumed completely
	 * @return the data of each event that the bytes complete, in order
	 * @throws EventTooLargeException if an event exceeds the maximum size
	 */
	public List<String> decode(ByteBuffer bytes) {
		List<String> events = new ArrayList<>();
		while (bytes.hasRemaining()) {
			byte next = bytes.get();
			if (next == '\n') {
				endLine(events);
			}
			else {
				this.line.write(next);
				checkSize();
			}
		}
		return events;
	}

	private void endLine(List<String> events) {
		String text = this.line.toString(StandardCharsets.UTF_8);
		this.line.reset();
		text = text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
		if (text.isEmpty()) {
			endEvent(events);
		}
		else if (text.startsWith(DATA_FIELD)) {
			appendData(text.substring(DATA_FIELD.length()));
		}
	}

	private void appendData(String value) {
		if (this.hasData) {
			this.data.append('\n');
		}
		this.data.append(value.startsWith(" ") ? value.substring(1) : value);
		this.hasData = true;
		checkSize();
	}

	private void endEvent(List<String> events) {
		if (this.hasData) {
			events.add(this.data.toString());
		}
		this.data.setLength(0);
		this.hasData = false;
	}

	private void checkSize() {
		if (this.line.size() + this.data.length() > this.maximumEventBytes) {
			throw new EventTooLargeException();
		}
	}

	/**
	 * Thrown if an event exceeds the maximum size.
	 */
	public static final class EventTooLargeException extends RuntimeException {

	}

}
