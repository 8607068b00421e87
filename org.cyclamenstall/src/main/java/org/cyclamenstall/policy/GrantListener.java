package org.cyclamenstall.policy;

/**
 * Is told of the decisions on one attempt.
 */
public interface GrantListener {

	/**
	 * Hands over a slot of an upstream. The receiver ends the grant exactly once.
	 * @param grant the slot
	 */
	void granted(Grant grant);

	/**
	 * Refuses the attempt; no grant follows.
	 * @param refusal why, and when to come back
	 */
	void refused(Refusal refusal);

	/**
	 * Asks the holder of a grant to cancel its stream, to end the grant with
	 * {@link AttemptResult#PREEMPTED}, and to ask for a retry with the progress kept.
	 * Only resumable streams are asked.
	 */
	default void preempt() {
	}

}
