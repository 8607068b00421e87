package org.cyclamenstall.errors;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * Response to an error kind: its HTTP status, retry advice and exit code. Immutable.
 *
 * @param status the HTTP status
 * @param outcome whether the request was executed, as far as it follows from the error
 * kind
 * @param retryAfter the retry delay sent to the caller, or {@code null} for none
 * @param exitCode the exit code of the command-line tool
 */
public record ErrorResponse(int status, Outcome outcome, @Nullable Duration retryAfter, int exitCode) {

}
