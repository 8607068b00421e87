package org.cyclamenstall.internal.policy;

/**
 * Takes each decision of a controller, in order and under its lock; must not block.
 */
@FunctionalInterface
public interface DecisionLog {

	/**
	 * Takes a decision.
	 * @param decision the decision
	 */
	void record(Decision decision);

}
