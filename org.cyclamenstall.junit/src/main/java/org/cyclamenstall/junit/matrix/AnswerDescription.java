package org.cyclamenstall.junit.matrix;

import org.cyclamenstall.standin.caller.CallerAnswer;

/**
 * Formats responses for the matrix table. Stateless.
 */
final class AnswerDescription {

	private AnswerDescription() {
	}

	static String of(CallerAnswer response) {
		if (!response.errorKind().isEmpty()) {
			return response.errorKind() + " (" + response.outcome() + ")";
		}
		if (response.failure().isPresent()) {
			return (response.status() == 0) ? "no answer" : "cut answer";
		}
		return Integer.toString(response.status());
	}

}
