package org.cyclamenstall.internal.claims;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The states of a claim record in the store.
 */
enum ClaimOutcome {

	/** The request is claimed; only the claimant knows its further progress. */
	CLAIMED("claimed"),

	/** The request was executed. */
	COMPLETED("completed"),

	/** The request may have been executed. */
	UNKNOWN("unknown"),

	/** The request was not executed and will never be sent by this attempt. */
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
