package org.cyclamenstall.policy;

/**
 * Tells whether another attempt is allowed.
 */
public enum RetryDecision {

	/** The attempt is allowed. */
	GRANTED,

	/** The retry budget is spent. */
	BUDGET_SPENT,

	/** The request had its last attempt. */
	ATTEMPTS_EXHAUSTED,

	/** No other upstream has room. */
	NO_UPSTREAM

}
