package org.cyclamenstall.errors;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * Describes how an error kind is answered. Immutable.
 *
 * @param status the HTTP status
 * @param outcome what is known of the execution when the kind alone is known
 * @param retryAfter the pause asked of the caller, or {@code null} for none
 * @param exitCode the exit code of the command-line tool
 */
public record ErrorAnswer(int status, Outcome outcome, @Nullable Duration retryAfter, int exitCode) {

}
