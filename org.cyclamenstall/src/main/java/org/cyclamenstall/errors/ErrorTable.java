package org.cyclamenstall.errors;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Maps each {@link ErrorKind} to its response. Immutable.
 */
public final class ErrorTable {

	private static final Duration SHORT_RETRY_DELAY = Duration.ofSeconds(1);

	private static final Duration LONG_RETRY_DELAY = Duration.ofSeconds(5);

	private static final int EXIT_USAGE = 2;

	private static final int EXIT_REJECTED = 3;

	private static final int EXIT_CONFLICT = 4;

	private static final int EXIT_UNAVAILABLE = 5;

	private static final int EXIT_OUTCOME_UNKNOWN = 6;

	private static final int EXIT_INTERNAL_ERROR = 70;

	private static final Map<ErrorKind, ErrorResponse> RESPONSES = new EnumMap<>(ErrorKind.class);

	static {
		addNotRun(ErrorKind.MALFORMED_REQUEST, 400, null, EXIT_REJECTED);
		addNotRun(ErrorKind.UNKNOWN_API_KEY, 401, null, EXIT_REJECTED);
		addNotRun(ErrorKind.ENTRY_FORBIDDEN, 403, null, EXIT_REJECTED);
		addNotRun(ErrorKind.UNKNOWN_ROUTE, 404, null, EXIT_REJECTED);
		addNotRun(ErrorKind.METHOD_NOT_ALLOWED, 405, null, EXIT_REJECTED);
		addNotRun(ErrorKind.BODY_TOO_LARGE, 413, null, EXIT_REJECTED);
		addNotRun(ErrorKind.BODY_MEMORY_EXHAUSTED, 503, SHORT_RETRY_DELAY, EXIT_UNAVAILABLE);
		addNotRun(ErrorKind.REQUEST_READ_TIMEOUT, 408, null, EXIT_REJECTED);
		addNotRun(ErrorKind.IDEMPOTENCY_KEY_REQUIRED, 400, null, EXIT_REJECTED);
		addNotRun(ErrorKind.IDEMPOTENCY_KEY_REUSED, 422, null, EXIT_REJECTED);
		add(ErrorKind.IDEMPOTENCY_IN_PROGRESS, 409, Outcome.UNKNOWN, SHORT_RETRY_DELAY, EXIT_CONFLICT);
		add(ErrorKind.IDEMPOTENCY_OUTCOME_UNKNOWN, 409, Outcome.UNKNOWN, LONG_RETRY_DELAY, EXIT_OUTCOME_UNKNOWN);
		add(ErrorKind.IDEMPOTENCY_ANSWER_NOT_KEPT, 409, Outcome.RAN, null, EXIT_CONFLICT);
		addNotRun(ErrorKind.CLAIM_STORE_UNAVAILABLE, 503, LONG_RETRY_DELAY, EXIT_UNAVAILABLE);
		addNotRun(ErrorKind.CLAIM_EXPIRED, 503, SHORT_RETRY_DELAY, EXIT_UNAVAILABLE);
		addNotRun(ErrorKind.REQUEST_RATE_LIMITED, 429, SHORT_RETRY_DELAY, EXIT_REJECTED);
		addNotRun(ErrorKind.CONCURRENCY_LIMITED, 429, SHORT_RETRY_DELAY, EXIT_REJECTED);
		addNotRun(ErrorKind.TOKEN_RATE_LIMITED, 429, SHORT_RETRY_DELAY, EXIT_REJECTED);
		addNotRun(ErrorKind.QUEUE_FULL, 503, SHORT_RETRY_DELAY, EXIT_UNAVAILABLE);
		addNotRun(ErrorKind.SHED, 503, SHORT_RETRY_DELAY, EXIT_UNAVAILABLE);
		addNotRun(ErrorKind.DEADLINE_UNREACHABLE, 503, SHORT_RETRY_DELAY, EXIT_UNAVAILABLE);
		addNotRun(ErrorKind.DEADLINE_EXCEEDED, 503, SHORT_RETRY_DELAY, EXIT_UNAVAILABLE);
		addNotRun(ErrorKind.NO_LIVE_UPSTREAM, 503, SHORT_RETRY_DELAY, EXIT_UNAVAILABLE);
		addNotRun(ErrorKind.UPSTREAM_UNREACHABLE, 503, SHORT_RETRY_DELAY, EXIT_UNAVAILABLE);
		addNotRun(ErrorKind.UPSTREAM_REFUSED, 503, SHORT_RETRY_DELAY, EXIT_UNAVAILABLE);
		addUnknown(ErrorKind.UPSTREAM_TIMEOUT, 504);
		addUnknown(ErrorKind.UPSTREAM_CONNECTION_LOST, 502);
		addUnknown(ErrorKind.UPSTREAM_ANSWER_MALFORMED, 502);
		addUnknown(ErrorKind.UPSTREAM_ANSWER_MISMATCHED, 502);
		addUnknown(ErrorKind.UPSTREAM_ANSWER_TOO_LARGE, 502);
		addUnknown(ErrorKind.UPSTREAM_FAILED, 502);
		addNotRun(ErrorKind.UPSTREAMS_FULL, 503, SHORT_RETRY_DELAY, EXIT_UNAVAILABLE);
		addNotRun(ErrorKind.PROMPT_QUARANTINED, 503, LONG_RETRY_DELAY, EXIT_UNAVAILABLE);
		addNotRun(ErrorKind.SHUTTING_DOWN, 503, SHORT_RETRY_DELAY, EXIT_UNAVAILABLE);
		addNotRun(ErrorKind.NOT_READY, 503, SHORT_RETRY_DELAY, EXIT_UNAVAILABLE);
		addNotRun(ErrorKind.KEYS_UNCONFIRMED, 503, SHORT_RETRY_DELAY, EXIT_UNAVAILABLE);
		addNotRun(ErrorKind.OPERATOR_UNAUTHORIZED, 401, null, EXIT_REJECTED);
		addNotRun(ErrorKind.CATALOGUE_CONFLICT, 409, null, EXIT_CONFLICT);
		addNotRun(ErrorKind.CATALOGUE_INVALID, 422, null, EXIT_REJECTED);
		addNotRun(ErrorKind.CATALOGUE_ENTRY_UNKNOWN, 404, null, EXIT_REJECTED);
		addUnknown(ErrorKind.CATALOGUE_WRITE_UNKNOWN, 503);
		addNotRun(ErrorKind.STORE_UNAVAILABLE, 503, LONG_RETRY_DELAY, EXIT_UNAVAILABLE);
		addNotRun(ErrorKind.STORE_HISTORY_LOST, 503, SHORT_RETRY_DELAY, EXIT_UNAVAILABLE);
		addNotRun(ErrorKind.SETTINGS_INVALID, 500, null, EXIT_USAGE);
		addNotRun(ErrorKind.USAGE, 400, null, EXIT_USAGE);
		add(ErrorKind.INTERNAL, 500, Outcome.UNKNOWN, null, EXIT_INTERNAL_ERROR);
	}

	private ErrorTable() {
	}

	/**
	 * Returns the response to an error kind.
	 * @param kind the error kind
	 * @return the response
	 */
	public static ErrorResponse responseFor(ErrorKind kind) {
		ErrorResponse response = RESPONSES.get(kind);
		if (response == null) {
			throw new IllegalStateException("No response for error kind " + kind);
		}
		return response;
	}

	private static void addNotRun(ErrorKind kind, int status, @Nullable Duration retryAfter, int exitCode) {
		add(kind, status, Outcome.NOT_RUN, retryAfter, exitCode);
	}

	private static void addUnknown(ErrorKind kind, int status) {
		add(kind, status, Outcome.UNKNOWN, null, EXIT_OUTCOME_UNKNOWN);
	}

	private static void add(ErrorKind kind, int status, Outcome outcome, @Nullable Duration retryAfter, int exitCode) {
		RESPONSES.put(kind, new ErrorResponse(status, outcome, retryAfter, exitCode));
	}

}
