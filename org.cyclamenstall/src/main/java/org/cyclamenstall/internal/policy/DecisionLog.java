package org.cyclamenstall.internal.policy;

/**
 * Receives each decision of a controller in order, while the lock of the controller is
 * held. Implementations must not block.
 */
@FunctionalInterface
public interface DecisionLog {

	/**
	 * Records a decision.
	 * @param decision the decision
	 */
	void record(Decision decision);

}
