package org.cyclamenstall.internal.gateway;

import java.time.Duration;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.ErrorTable;
import org.cyclamenstall.errors.Outcome;
import org.jspecify.annotations.Nullable;

/**
 * Holds what a caller is told of a failed request. Immutable.
 *
 * @param kind the error kind
 * @param outcome what is known of the execution
 * @param message the detail
 * @param retryAfter when to come back, or {@code null} for no advice
 */
public record ErrorReport(ErrorKind kind, Outcome outcome, String message, @Nullable Duration retryAfter) {

	/**
	 * Creates a report with the usual outcome and pause of its kind.
	 * @param kind the error kind
	 * @param message the detail
	 * @return the report
	 */
	public static ErrorReport of(ErrorKind kind, String message) {
		return new ErrorReport(kind, ErrorTable.answerFor(kind).outcome(), message,
				ErrorTable.answerFor(kind).retryAfter());
	}

}
