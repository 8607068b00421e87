package org.cyclamenstall.junit.matrix;

import java.util.List;
import java.util.function.BooleanSupplier;

import org.cyclamenstall.standin.faultproxy.FaultProxy;
import org.cyclamenstall.standin.faultproxy.FaultRule;
import org.cyclamenstall.standin.site.ConditionWaiter;

/**
 * Represents a request or edit whose bytes are held at a step. Immutable.
 *
 * @param path the proxies on whose connections the bytes are held
 * @param rules the rules that hold the bytes of the step
 * @param reached the condition that holds once the request or edit has reached the step
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
