package org.cyclamenstall.policy;

/**
 * Receives the decisions of the traffic controller on one attempt.
 */
public interface GrantListener {

	/**
	 * Called when a slot of an upstream was granted. The listener must release the grant
	 * exactly once.
	 * @param grant the grant
	 */
	void onGranted(Grant grant);

	/**
	 * Called when the attempt was refused; no grant follows.
	 * @param refusal the reason and the time to wait before a retry
	 */
	void onRefused(Refusal refusal);

	/**
	 * Called when the controller preempts the attempt. The listener must cancel the
	 * stream, release the grant with {@link AttemptResult#PREEMPTED} and request a retry
	 * that resumes the stream. Only called for resumable streams.
	 */
	default void onPreempt() {
	}

}
