package org.cyclamenstall.junit.matrix;

import org.cyclamenstall.standin.caller.CallerResponse;

/**
 * Formats responses for the matrix table. Stateless.
 */
final class ResponseDescription {

	private ResponseDescription() {
	}

	static String of(CallerResponse response) {
		if (!response.errorKind().isEmpty()) {
			return response.errorKind() + " (" + response.outcome() + ")";
		}
		if (response.failure().isPresent()) {
			return (response.status() == 0) ? "no answer" : "cut answer";
		}
		return Integer.toString(response.status());
	}

}
