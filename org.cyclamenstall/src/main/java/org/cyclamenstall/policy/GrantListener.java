package org.cyclamenstall.policy;

import org.cyclamenstall.errors.ErrorKind;

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
	 * @param kind why
	 * @param detail the detail for the caller
	 */
	void refused(ErrorKind kind, String detail);

	/**
	 * Asks the holder of a grant to cancel its stream, to end the grant with
	 * {@link AttemptResult#PREEMPTED}, and to ask for a retry with the progress kept.
	 * Only resumable streams are asked.
	 */
	default void preempt() {
	}

}
