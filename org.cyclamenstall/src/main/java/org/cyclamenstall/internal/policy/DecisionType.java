package org.cyclamenstall.internal.policy;

import java.util.Locale;

/**
 * Enumerates the decisions of the traffic controller on requests.
 */
public enum DecisionType {

	/** A slot was granted in scheduling order. */
	GRANTED,

	/** A slot was granted to a request of a lower tier because of its age. */
	GRANTED_BY_AGE,

	/** A second, concurrent attempt was granted. */
	HEDGED,

	/** A request was queued. */
	QUEUED,

	/** A queued request was dropped in favour of one of a higher tier. */
	SHED,

	/**
	 * A running request was preempted in favour of a higher tier, or because more
	 * requests were running than the capacity allows.
	 */
	PREEMPTED,

	/** A request was refused. */
	REFUSED;

	/**
	 * Returns the label used in logs and metrics.
	 * @return the name in lower case with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
