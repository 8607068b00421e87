package org.cyclamenstall.internal.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Result of an HTTP call. Immutable; the array is not copied and must not be changed.
 *
 * @param state whether a response was received, or else how far the call progressed
 * @param status the HTTP status, or 0 without a response
 * @param headers the first value of each header, by lower-case name
 * @param body the body, empty without a response
 * @param detail the cause of the failure, or {@code null} if a response was received
 */
public record HttpResponse(HttpResponseState state, int status, Map<String, String> headers, byte[] body,
		@Nullable String detail) {

	private static final byte[] EMPTY = new byte[0];

	/**
	 * Creates the result of a call without a response.
	 * @param state how far the call progressed
	 * @param detail the cause of the failure
	 * @return the result
	 */
	public static HttpResponse failed(HttpResponseState state, String detail) {
		return new HttpResponse(state, 0, Map.of(), EMPTY, detail);
	}

	/**
	 * Returns whether a response with the given status was received.
	 * @param expected the expected status
	 * @return {@code true} if the statuses are equal
	 */
	public boolean hasStatus(int expected) {
		return this.state == HttpResponseState.ANSWERED && this.status == expected;
	}

	/**
	 * Returns the body as text.
	 * @return the text, decoded as UTF-8
	 */
	public String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

}
