package org.cyclamenstall.internal.claims;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Lists the states of a claim record in the store.
 */
enum ClaimOutcome {

	/** The claimant alone knows more. */
	CLAIMED("claimed"),

	/** The request ran. */
	COMPLETED("completed"),

	/** The request may have run. */
	UNKNOWN("unknown"),

	/** The request did not run and never will under this attempt. */
	ABANDONED("abandoned");

	private final String label;

	ClaimOutcome(String label) {
		this.label = label;
	}

	@JsonValue
	String label() {
		return this.label;
	}

}
