package org.cyclamenstall.policy;

import java.util.Locale;

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
	NO_UPSTREAM,

	/** A part of the prompt is suspected of crashing upstreams. */
	PROMPT_SUSPECTED,

	/** The request may have been executed and must not be executed twice. */
	NOT_REPEATABLE,

	/** The daemon shuts down before another attempt could be answered. */
	SHUTTING_DOWN,

	/** The caller has disconnected. */
	CALLER_DISCONNECTED;

	/**
	 * Returns the label of this decision in events.
	 * @return the name in lower case with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
