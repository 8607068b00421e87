package org.cyclamenstall.internal.http;

import java.time.Duration;
import java.util.Map;

/**
 * HTTP request and its timeout. Immutable; the array is not copied and must not be
 * changed.
 *
 * @param method the method
 * @param path the encoded path with its query
 * @param headers additional headers
 * @param body the body, empty for none
 * @param timeout the maximum time until the complete response is received
 */
public record HttpCall(String method, String path, Map<String, String> headers, byte[] body, Duration timeout) {

	private static final byte[] EMPTY = new byte[0];

	/**
	 * Creates a GET call.
	 * @param path the encoded path with its query
	 * @param timeout the maximum time until the complete response is received
	 * @return the call
	 */
	public static HttpCall get(String path, Duration timeout) {
		return new HttpCall("GET", path, Map.of(), EMPTY, timeout);
	}

	boolean isGet() {
		return "GET".equals(this.method);
	}

}
