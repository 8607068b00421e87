package org.cyclamenstall.internal.policy;

import java.util.Locale;

/**
 * Lists what the controller decides on requests.
 */
public enum DecisionType {

	/** A request got a slot in its turn. */
	GRANTED,

	/** A request of a lower tier got a slot because it waited long. */
	GRANTED_BY_AGE,

	/** A request got a second attempt beside its first. */
	HEDGED,

	/** A request waits. */
	QUEUED,

	/** A request was dropped in favour of one of a higher tier. */
	SHED,

	/** A slot was taken back in favour of a higher tier. */
	PREEMPTED,

	/** A request was refused. */
	REFUSED;

	/**
	 * Returns the spelling used in logs and metrics.
	 * @return the label
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
