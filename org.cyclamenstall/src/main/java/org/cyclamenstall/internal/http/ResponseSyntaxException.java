package org.cyclamenstall.internal.http;

import java.io.IOException;

/**
 * Thrown for bytes of a response that violate the syntax of HTTP or exceed its limits.
 * The outcome of the request is unknown.
 */
public final class ResponseSyntaxException extends IOException {

	/**
	 * Creates an exception.
	 * @param message what is wrong
	 */
	ResponseSyntaxException(String message) {
		super(message);
	}

}
