package org.cyclamenstall.errors;

import org.jspecify.annotations.Nullable;

/**
 * Thrown for an error that is reported to a caller or an operator. The {@link ErrorKind}
 * determines the response.
 */
public class RouterException extends RuntimeException {

	private final ErrorKind kind;

	/**
	 * Creates an exception.
	 * @param kind the kind of error
	 * @param message the message that is sent to the caller or the operator
	 */
	public RouterException(ErrorKind kind, String message) {
		this(kind, message, null);
	}

	/**
	 * Creates an exception with a cause.
	 * @param kind the kind of error
	 * @param message the message that is sent to the caller or the operator
	 * @param cause the cause, or {@code null} for none
	 */
	public RouterException(ErrorKind kind, String message, @Nullable Throwable cause) {
		super(message, cause);
		this.kind = kind;
	}

	/**
	 * Returns the kind of error.
	 * @return the kind
	 */
	public ErrorKind kind() {
		return this.kind;
	}

}
