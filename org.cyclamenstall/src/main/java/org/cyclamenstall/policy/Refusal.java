package org.cyclamenstall.policy;

import java.time.Duration;

import org.cyclamenstall.errors.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Tells a caller why its request was refused and when to come back. Immutable.
 *
 * @param kind why
 * @param detail the detail for the caller
 * @param retryAfter when to come back, or {@code null} for the usual pause of the kind
 */
public record Refusal(ErrorKind kind, String detail, @Nullable Duration retryAfter) {

	/**
	 * Creates a refusal with the usual pause of its kind.
	 * @param kind why
	 * @param detail the detail for the caller
	 */
	public Refusal(ErrorKind kind, String detail) {
		this(kind, detail, null);
	}

}
