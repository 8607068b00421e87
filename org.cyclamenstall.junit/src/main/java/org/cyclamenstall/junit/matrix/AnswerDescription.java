package org.cyclamenstall.junit.matrix;

import org.cyclamenstall.standin.caller.CallerAnswer;

/**
 * Puts answers into words for the table. Stateless.
 */
final class AnswerDescription {

	private AnswerDescription() {
	}

	static String of(CallerAnswer answer) {
		if (!answer.errorKind().isEmpty()) {
			return answer.errorKind() + " (" + answer.outcome() + ")";
		}
		if (answer.failure().isPresent()) {
			return (answer.status() == 0) ? "no answer" : "cut answer";
		}
		return Integer.toString(answer.status());
	}

}
