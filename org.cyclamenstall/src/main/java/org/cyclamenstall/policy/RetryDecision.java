package org.cyclamenstall.policy;

/**
 * Enumerates the decisions on a request for another attempt.
 */
public enum RetryDecision {

	/** The attempt was granted. */
	GRANTED,

	/** The retry budget is exhausted. */
	BUDGET_SPENT,

	/** The request reached its maximum number of attempts, or is still queued. */
	ATTEMPTS_EXHAUSTED,

	/** No suitable upstream is available. */
	NO_UPSTREAM

}
