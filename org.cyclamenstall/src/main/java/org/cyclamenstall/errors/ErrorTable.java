package org.cyclamenstall.errors;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Maps each {@link ErrorKind} to its answer. Every kind has exactly one row. Immutable.
 */
public final class ErrorTable {

	private static final Duration SHORT_PAUSE = Duration.ofSeconds(1);

	private static final Duration LONG_PAUSE = Duration.ofSeconds(5);

	private static final int EXIT_USAGE = 2;

	private static final int EXIT_REFUSED = 3;

	private static final int EXIT_CONFLICT = 4;

	private static final int EXIT_UNAVAILABLE = 5;

	private static final int EXIT_UNKNOWN = 6;

	private static final int EXIT_FAULT = 70;

	private static final Map<ErrorKind, ErrorAnswer> ANSWERS = new EnumMap<>(ErrorKind.class);

	static {
		notRun(ErrorKind.MALFORMED_REQUEST, 400, null, EXIT_REFUSED);
		notRun(ErrorKind.UNKNOWN_API_KEY, 401, null, EXIT_REFUSED);
		notRun(ErrorKind.ENTRY_FORBIDDEN, 403, null, EXIT_REFUSED);
		notRun(ErrorKind.UNKNOWN_ROUTE, 404, null, EXIT_REFUSED);
		notRun(ErrorKind.METHOD_NOT_ALLOWED, 405, null, EXIT_REFUSED);
		notRun(ErrorKind.BODY_TOO_LARGE, 413, null, EXIT_REFUSED);
		notRun(ErrorKind.REQUEST_READ_TIMEOUT, 408, null, EXIT_REFUSED);
		notRun(ErrorKind.IDEMPOTENCY_KEY_REQUIRED, 400, null, EXIT_REFUSED);
		notRun(ErrorKind.IDEMPOTENCY_KEY_REUSED, 422, null, EXIT_REFUSED);
		row(ErrorKind.IDEMPOTENCY_IN_PROGRESS, 409, Outcome.UNKNOWN, SHORT_PAUSE, EXIT_CONFLICT);
		row(ErrorKind.IDEMPOTENCY_OUTCOME_UNKNOWN, 409, Outcome.UNKNOWN, LONG_PAUSE, EXIT_UNKNOWN);
		row(ErrorKind.IDEMPOTENCY_ANSWER_NOT_KEPT, 409, Outcome.RAN, null, EXIT_CONFLICT);
		notRun(ErrorKind.CLAIM_STORE_UNAVAILABLE, 503, LONG_PAUSE, EXIT_UNAVAILABLE);
		notRun(ErrorKind.CLAIM_EXPIRED, 503, SHORT_PAUSE, EXIT_UNAVAILABLE);
		notRun(ErrorKind.REQUEST_RATE_LIMITED, 429, SHORT_PAUSE, EXIT_REFUSED);
		notRun(ErrorKind.CONCURRENCY_LIMITED, 429, SHORT_PAUSE, EXIT_REFUSED);
		notRun(ErrorKind.TOKEN_RATE_LIMITED, 429, SHORT_PAUSE, EXIT_REFUSED);
		notRun(ErrorKind.QUEUE_FULL, 503, SHORT_PAUSE, EXIT_UNAVAILABLE);
		notRun(ErrorKind.SHED, 503, SHORT_PAUSE, EXIT_UNAVAILABLE);
		notRun(ErrorKind.DEADLINE_UNREACHABLE, 503, SHORT_PAUSE, EXIT_UNAVAILABLE);
		notRun(ErrorKind.DEADLINE_EXCEEDED, 503, SHORT_PAUSE, EXIT_UNAVAILABLE);
		notRun(ErrorKind.NO_LIVE_UPSTREAM, 503, SHORT_PAUSE, EXIT_UNAVAILABLE);
		notRun(ErrorKind.UPSTREAM_UNREACHABLE, 503, SHORT_PAUSE, EXIT_UNAVAILABLE);
		notRun(ErrorKind.UPSTREAM_REFUSED, 503, SHORT_PAUSE, EXIT_UNAVAILABLE);
		unknown(ErrorKind.UPSTREAM_TIMEOUT, 504);
		unknown(ErrorKind.UPSTREAM_CONNECTION_LOST, 502);
		unknown(ErrorKind.UPSTREAM_ANSWER_MALFORMED, 502);
		unknown(ErrorKind.UPSTREAM_ANSWER_MISMATCHED, 502);
		unknown(ErrorKind.UPSTREAM_ANSWER_TOO_LARGE, 502);
		unknown(ErrorKind.UPSTREAM_FAILED, 502);
		notRun(ErrorKind.UPSTREAMS_FULL, 503, SHORT_PAUSE, EXIT_UNAVAILABLE);
		notRun(ErrorKind.SHUTTING_DOWN, 503, SHORT_PAUSE, EXIT_UNAVAILABLE);
		notRun(ErrorKind.NOT_READY, 503, SHORT_PAUSE, EXIT_UNAVAILABLE);
		notRun(ErrorKind.KEYS_UNCONFIRMED, 503, SHORT_PAUSE, EXIT_UNAVAILABLE);
		notRun(ErrorKind.OPERATOR_UNAUTHORIZED, 401, null, EXIT_REFUSED);
		notRun(ErrorKind.CATALOGUE_CONFLICT, 409, null, EXIT_CONFLICT);
		notRun(ErrorKind.CATALOGUE_INVALID, 422, null, EXIT_REFUSED);
		notRun(ErrorKind.CATALOGUE_ENTRY_UNKNOWN, 404, null, EXIT_REFUSED);
		unknown(ErrorKind.CATALOGUE_WRITE_UNKNOWN, 503);
		notRun(ErrorKind.STORE_UNAVAILABLE, 503, LONG_PAUSE, EXIT_UNAVAILABLE);
		notRun(ErrorKind.STORE_HISTORY_LOST, 503, SHORT_PAUSE, EXIT_UNAVAILABLE);
		notRun(ErrorKind.SETTINGS_INVALID, 500, null, EXIT_USAGE);
		notRun(ErrorKind.USAGE, 400, null, EXIT_USAGE);
		row(ErrorKind.INTERNAL, 500, Outcome.UNKNOWN, null, EXIT_FAULT);
	}

	private ErrorTable() {
	}

	/**
	 * Returns the answer to an error kind.
	 * @param kind the error kind
	 * @return its row
	 */
	public static ErrorAnswer answerFor(ErrorKind kind) {
		ErrorAnswer answer = ANSWERS.get(kind);
		if (answer == null) {
			throw new IllegalStateException("No row for " + kind);
		}
		return answer;
	}

	private static void notRun(ErrorKind kind, int status, @Nullable Duration retryAfter, int exitCode) {
		row(kind, status, Outcome.NOT_RUN, retryAfter, exitCode);
	}

	private static void unknown(ErrorKind kind, int status) {
		row(kind, status, Outcome.UNKNOWN, null, EXIT_UNKNOWN);
	}

	private static void row(ErrorKind kind, int status, Outcome outcome, @Nullable Duration retryAfter, int exitCode) {
		ANSWERS.put(kind, new ErrorAnswer(status, outcome, retryAfter, exitCode));
	}

}
