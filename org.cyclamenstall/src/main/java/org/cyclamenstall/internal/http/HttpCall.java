package org.cyclamenstall.internal.http;

import java.time.Duration;
import java.util.Map;

/**
 * Describes an HTTP call. Immutable; the array is not copied and must not be changed.
 *
 * @param method the method
 * @param path the path with its query, encoded
 * @param headers further headers
 * @param body the body, empty for none
 * @param timeout the longest time until the whole answer is received
 */
public record HttpCall(String method, String path, Map<String, String> headers, byte[] body, Duration timeout) {

	private static final byte[] EMPTY = new byte[0];

	/**
	 * Creates a call that reads.
	 * @param path the path with its query, encoded
	 * @param timeout the longest time until the whole answer is received
	 * @return the call
	 */
	public static HttpCall get(String path, Duration timeout) {
		return new HttpCall("GET", path, Map.of(), EMPTY, timeout);
	}

	boolean isRepeatable() {
		return "GET".equals(this.method);
	}

}
