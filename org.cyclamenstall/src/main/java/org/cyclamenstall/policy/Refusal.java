package org.cyclamenstall.policy;

import java.time.Duration;

import org.cyclamenstall.errors.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Describes why a request was refused and when the caller should retry. Immutable.
 *
 * @param kind the error kind
 * @param detail the message for the caller
 * @param retryAfter the delay before the caller should retry, or {@code null} for the
 * default of the error kind
 */
public record Refusal(ErrorKind kind, String detail, @Nullable Duration retryAfter) {

	/**
	 * Creates a refusal with the default retry delay of its kind.
	 * @param kind the error kind
	 * @param detail the message for the caller
	 */
	public Refusal(ErrorKind kind, String detail) {
		this(kind, detail, null);
	}

}
