package org.cyclamenstall.internal.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Gathers one line of a response without its end. A line ends with CR LF and contains no
 * other control byte than the horizontal tab. Not thread-safe.
 */
final class LineBuffer {

	private static final int INITIAL_BYTES = 128;

	private byte[] bytes = new byte[INITIAL_BYTES];

	private int length;

	private boolean endStarted;

	private boolean complete;

	/**
	 * Adds bytes up to the end of the line.
	 * @param buffer contains the bytes; its position and limit are not used
	 * @param start the index of the first byte
	 * @param end the index after the last byte
	 * @return the index after the last byte that was added
	 * @throws ResponseSyntaxException if a byte is not allowed in a line
	 */
	int append(ByteBuffer buffer, int start, int end) throws ResponseSyntaxException {
		int index = start;
		while (index < end && !this.complete) {
			append(buffer.get(index));
			index++;
		}
		return index;
	}

	private void append(byte next) throws ResponseSyntaxException {
		if (this.endStarted) {
			if (next != '\n') {
				throw new ResponseSyntaxException("a carriage return is not followed by a line feed");
			}
			this.complete = true;
			return;
		}
		if (next == '\r') {
			this.endStarted = true;
			return;
		}
		if (!HttpSyntax.isTextCharacter(Byte.toUnsignedInt(next))) {
			throw new ResponseSyntaxException("a line contains a control byte");
		}
		if (this.length == this.bytes.length) {
			this.bytes = Arrays.copyOf(this.bytes, 2 * this.length);
		}
		this.bytes[this.length++] = next;
	}

	/**
	 * Returns whether the end of the line was added.
	 * @return {@code true} until the buffer is cleared
	 */
	boolean isComplete() {
		return this.complete;
	}

	/**
	 * Removes everything, and the memory that a long line took.
	 */
	void clear() {
		this.length = 0;
		this.endStarted = false;
		this.complete = false;
		if (this.bytes.length > INITIAL_BYTES) {
			this.bytes = new byte[INITIAL_BYTES];
		}
	}

	/**
	 * Returns the number of bytes.
	 * @return the number, without the end of the line
	 */
	int length() {
		return this.length;
	}

	/**
	 * Returns a byte.
	 * @param index its position
	 * @return the byte
	 */
	byte at(int index) {
		return this.bytes[index];
	}

	/**
	 * Returns the number of leading bytes that are token characters.
	 * @return the length of the token, possibly zero
	 */
	int tokenLength() {
		int end = 0;
		while (end < this.length && HttpSyntax.isTokenCharacter(this.bytes[end])) {
			end++;
		}
		return end;
	}

	/**
	 * Returns whether the line starts with a name, whatever its case.
	 * @param name the name in lower case
	 * @return {@code true} if it does
	 */
	boolean startsWithIgnoringCase(String name) {
		if (this.length < name.length()) {
			return false;
		}
		for (int index = 0; index < name.length(); index++) {
			if (Character.toLowerCase(this.bytes[index]) != name.charAt(index)) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns a part of the line as text.
	 * @param start the position of the first byte
	 * @return the text up to the end of the line
	 */
	String textFrom(int start) {
		return new String(this.bytes, start, this.length - start, StandardCharsets.ISO_8859_1);
	}

}
