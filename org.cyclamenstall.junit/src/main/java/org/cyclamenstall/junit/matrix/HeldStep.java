package org.cyclamenstall.junit.matrix;

import java.util.List;

import org.cyclamenstall.standin.faultproxy.FaultProxy;
import org.cyclamenstall.standin.faultproxy.FaultRule;

/**
 * Holds a request or an edit that was brought to a step. Immutable.
 *
 * @param path the proxies on whose connections the step takes place
 * @param rules the rules that hold the bytes of the step
 */
record HeldStep(List<FaultProxy> path, List<FaultRule> rules) {

	void release() {
		this.rules.forEach(FaultRule::release);
	}

	void drop() {
		this.rules.forEach(FaultRule::drop);
	}

}
