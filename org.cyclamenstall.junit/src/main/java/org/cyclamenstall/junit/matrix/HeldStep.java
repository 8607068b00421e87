package org.cyclamenstall.junit.matrix;

import java.util.List;
import java.util.function.BooleanSupplier;

import org.cyclamenstall.standin.faultproxy.FaultProxy;
import org.cyclamenstall.standin.faultproxy.FaultRule;
import org.cyclamenstall.standin.site.ConditionWaiter;

/**
 * Holds a request or an edit at a step. Immutable.
 *
 * @param path the proxies on whose connections the step takes place
 * @param rules the rules that hold the bytes of the step
 * @param reached tells whether the request or edit is at the step
 */
record HeldStep(List<FaultProxy> path, List<FaultRule> rules, BooleanSupplier reached) {

	static HeldStep of(List<FaultProxy> path, FaultRule rule) {
		return new HeldStep(path, List.of(rule), () -> rule.hits() > 0);
	}

	void awaitReached(Step step) {
		ConditionWaiter.await(this.reached, () -> "step " + step.label() + " was not reached");
	}

	void release() {
		this.rules.forEach(FaultRule::release);
	}

	void drop() {
		this.rules.forEach(FaultRule::drop);
	}

}
