package org.cyclamenstall.internal.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of a server-sent event stream into the data of its events. Comments
 * and other fields are passed over. Not thread-safe.
 */
public final class EventStreamDecoder {

	private static final String DATA_FIELD = "data:";

	private final int maximumEventBytes;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private final StringBuilder data = new StringBuilder();

	private boolean dataSeen;

	/**
	 * Creates a decoder.
	 * @param maximumEventBytes the largest event, in bytes
	 */
	public EventStreamDecoder(int maximumEventBytes) {
		this.maximumEventBytes = maximumEventBytes;
	}

	/**
	 * Takes bytes of the stream.
	 * @param bytes the bytes; read to the end
	 * @return the data of each event that they complete, in order
	 * @throws EventTooLargeException if an event exceeds the bound
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
		if (this.dataSeen) {
			this.data.append('\n');
		}
		this.data.append(value.startsWith(" ") ? value.substring(1) : value);
		this.dataSeen = true;
		checkSize();
	}

	private void endEvent(List<String> events) {
		if (this.dataSeen) {
			events.add(this.data.toString());
		}
		this.data.setLength(0);
		this.dataSeen = false;
	}

	private void checkSize() {
		if (this.line.size() + this.data.length() > this.maximumEventBytes) {
			throw new EventTooLargeException();
		}
	}

	/**
	 * Reports an event that exceeds the bound.
	 */
	public static final class EventTooLargeException extends RuntimeException {

	}

}
