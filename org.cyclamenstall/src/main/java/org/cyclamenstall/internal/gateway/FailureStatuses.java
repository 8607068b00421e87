package org.cyclamenstall.internal.gateway;

import java.util.Set;

/**
 * Classifies the HTTP statuses of error responses. Callers interpret some statuses as a
 * statement that the request was not executed. If an upstream responds with one of them
 * without declaring that it did not execute the request, the status must not be
 * forwarded: the caller would repeat a request that may have been executed.
 */
final class FailureStatuses {

	private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

	private static final int FIRST_SERVER_ERROR_STATUS = 500;

	private FailureStatuses() {
	}

	static boolean impliesNotRun(int status) {
		return NOT_RUN_STATUSES.contains(status);
	}

	/**
	 * Returns whether a response with this status counts as a failed attempt of a request
	 * that retries error responses.
	 * @param status the HTTP status
	 * @return {@code true} for a server error and for a status that callers interpret as
	 * {@code not-run}
	 */
	static boolean isFailure(int status) {
		return status >= FIRST_SERVER_ERROR_STATUS || impliesNotRun(status);
	}

}
