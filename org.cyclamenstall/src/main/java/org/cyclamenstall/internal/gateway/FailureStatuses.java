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

	private static final int STATUS_FIRST_SERVER_ERROR = 500;

	private FailureStatuses() {
	}

	static boolean impliesNotRun(int status) {
		return NOT_RUN_STATUSES.contains(status);
	}

	static boolean isFailure(int status) {
		return status >= STATUS_FIRST_SERVER_ERROR || impliesNotRun(status);
	}

}
