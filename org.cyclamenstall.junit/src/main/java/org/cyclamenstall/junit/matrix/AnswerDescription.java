package org.cyclamenstall.junit.matrix;

import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.caller.CallerAnswer;
import org.cyclamenstall.standin.faultproxy.FaultRule;
import org.cyclamenstall.standin.site.ConditionWaiter;

/**
 * Puts answers into words for the table. Stateless.
 */
final class AnswerDescription {

	private static final int WAITING_WITH_SUBJECT = 2;

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

	static void awaitHeld(HeldStep held, TestSite site, Step step) {
		if (step == Step.QUEUED) {
			ConditionWaiter.await(
					() -> site.daemon(0).operators().metric("cyclamenstall_queue_length") >= WAITING_WITH_SUBJECT,
					() -> "the request is not queued");
			return;
		}
		ConditionWaiter.await(() -> held.rules().stream().anyMatch((rule) -> rule.hits() > 0), () -> "step "
				+ step.label() + " was not reached: " + held.rules().stream().map(FaultRule::hits).toList());
	}

}
