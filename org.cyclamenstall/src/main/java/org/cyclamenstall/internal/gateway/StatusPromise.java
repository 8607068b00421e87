package org.cyclamenstall.internal.gateway;

import java.util.Set;

/**
 * Knows the statuses by which an answer promises that a request did not run. An upstream
 * that answers one of them without declaring that it did not execute the request is not
 * believed: callers would repeat what may have run.
 */
final class StatusPromise {

	private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

	private static final int SERVER_ERROR = 500;

	private StatusPromise() {
	}

	static boolean isMadeBy(int status) {
		return NOT_RUN.contains(status);
	}

	static boolean isFailure(int status) {
		return status >= SERVER_ERROR || isMadeBy(status);
	}

}
