package org.cyclamenstall.internal.http;

import org.jspecify.annotations.Nullable;

/**
 * Reads from the lines of a response's head how its body is framed (RFC 9112, sections 4
 * to 6). Only forms that leave no doubt are accepted: one length, or the coding
 * {@code chunked} alone, and each line a field. Not thread-safe.
 */
final class ResponseHeadParser {

	/** Lowest status of a final response; those below announce one. */
	private static final int FIRST_FINAL_STATUS = 200;

	private static final int STATUS_NO_CONTENT = 204;

	private static final int STATUS_NOT_MODIFIED = 304;

	private static final int FIRST_UNDEFINED_STATUS = 600;

	private static final int FIRST_STATUS = 100;

	private static final String VERSION_PREFIX = "HTTP/1.";

	private static final String CONTENT_LENGTH = "content-length:";

	private static final String TRANSFER_ENCODING = "transfer-encoding:";

	private static final String CHUNKED = "chunked";

	private static final int VERSION_END = 8;

	private static final int STATUS_END = 12;

	private static final int DECIMAL = 10;

	private static final long NO_LENGTH = -1;

	private int status;

	private boolean persistentVersion;

	private long contentLength = NO_LENGTH;

	private boolean chunked;

	/**
	 * Starts a head with its first line.
	 * @param line the status line
	 * @throws ResponseSyntaxException if it is not a status line of HTTP/1.0 or HTTP/1.1
	 */
	void startHead(LineBuffer line) throws ResponseSyntaxException {
		String text = line.textFrom(0);
		boolean valid = text.length() > STATUS_END && text.startsWith(VERSION_PREFIX) && text.charAt(VERSION_END) == ' '
				&& text.charAt(STATUS_END) == ' ';
		char minorVersion = valid ? text.charAt(VERSION_END - 1) : ' ';
		if (minorVersion != '0' && minorVersion != '1') {
			throw new ResponseSyntaxException("the response does not start with a status line");
		}
		this.status = parseStatus(text);
		this.persistentVersion = minorVersion == '1';
		this.contentLength = NO_LENGTH;
		this.chunked = false;
	}

	/**
	 * Reads a field.
	 * @param line the line of the field
	 * @throws ResponseSyntaxException if it is not a field or defines no clear framing
	 */
	void addField(LineBuffer line) throws ResponseSyntaxException {
		checkField(line);
		if (line.startsWithIgnoringCase(CONTENT_LENGTH)) {
			addContentLength(trim(line.textFrom(CONTENT_LENGTH.length())));
		}
		else if (line.startsWithIgnoringCase(TRANSFER_ENCODING)) {
			addTransferEncoding(trim(line.textFrom(TRANSFER_ENCODING.length())));
		}
	}

	/**
	 * Checks that a line of a head or of trailers is a field. A line that continues the
	 * one before it is none.
	 * @param line the line
	 * @throws ResponseSyntaxException if it does not start with a name and a colon
	 */
	static void checkField(LineBuffer line) throws ResponseSyntaxException {
		int nameLength = line.tokenLength();
		if (nameLength == 0 || nameLength == line.length() || line.at(nameLength) != ':') {
			throw new ResponseSyntaxException("a line of the headers is not a field");
		}
	}

	/**
	 * Ends the head.
	 * @param headRequested whether the request asked for the head alone
	 * @return the framing of the body, or {@code null} if a further head follows
	 * @throws ResponseSyntaxException if the fields contradict each other or the status
	 */
	@Nullable BodyFraming endHead(boolean headRequested) throws ResponseSyntaxException {
		boolean hasFraming = this.chunked || this.contentLength > 0;
		if (this.chunked && (this.contentLength != NO_LENGTH || !this.persistentVersion)) {
			throw new ResponseSyntaxException("the framing of the body is ambiguous");
		}
		if (hasFraming && (this.status < FIRST_FINAL_STATUS || this.status == STATUS_NO_CONTENT)) {
			throw new ResponseSyntaxException("a response with status " + this.status + " announces a body");
		}
		if (this.status < FIRST_FINAL_STATUS) {
			return null;
		}
		if (headRequested || this.status == STATUS_NO_CONTENT || this.status == STATUS_NOT_MODIFIED) {
			return BodyFraming.NONE;
		}
		if (this.chunked) {
			return BodyFraming.CHUNKED;
		}
		return (this.contentLength != NO_LENGTH) ? BodyFraming.LENGTH : BodyFraming.UNTIL_CLOSE;
	}

	/**
	 * Returns the declared length.
	 * @return the length in bytes, valid with {@link BodyFraming#LENGTH}
	 */
	long contentLength() {
		return this.contentLength;
	}

	/**
	 * Returns whether a connection may be kept after a response of this version.
	 * @return {@code false} for HTTP/1.0
	 */
	boolean hasPersistentVersion() {
		return this.persistentVersion;
	}

	private static int parseStatus(String text) throws ResponseSyntaxException {
		int value = 0;
		for (int index = VERSION_END + 1; index < STATUS_END; index++) {
			if (!HttpSyntax.isDigit(text.charAt(index))) {
				throw new ResponseSyntaxException("the status is not a number");
			}
			value = DECIMAL * value + Character.digit(text.charAt(index), DECIMAL);
		}
		if (value < FIRST_STATUS || value >= FIRST_UNDEFINED_STATUS) {
			throw new ResponseSyntaxException("the status " + value + " is not defined");
		}
		return value;
	}

	private void addContentLength(String value) throws ResponseSyntaxException {
		long length = HttpSyntax.parseContentLength(value);
		if (length < 0) {
			throw new ResponseSyntaxException("the length of the body is not a number");
		}
		if (this.contentLength != NO_LENGTH) {
			throw new ResponseSyntaxException("the response has several lengths");
		}
		this.contentLength = length;
	}

	private void addTransferEncoding(String value) throws ResponseSyntaxException {
		if (this.chunked || !CHUNKED.equalsIgnoreCase(value)) {
			throw new ResponseSyntaxException("the transfer encoding is not supported");
		}
		this.chunked = true;
	}

	// Removes spaces and tabs only.
	private static String trim(String value) {
		int start = 0;
		int end = value.length();
		while (start < end && isBlank(value.charAt(start))) {
			start++;
		}
		while (end > start && isBlank(value.charAt(end - 1))) {
			end--;
		}
		return value.substring(start, end);
	}

	private static boolean isBlank(char character) {
		return character == ' ' || character == '\t';
	}

}
