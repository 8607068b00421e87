package org.cyclamenstall.internal.claims;

/**
 * Lists the states of a claim at its claimant.
 */
enum ClaimPhase {

	/** The store is being asked. */
	CLAIMING,

	/** The record stands in the store; nothing was sent. */
	CLAIMED,

	/** The request may be on its way to an upstream. */
	SENDING,

	/** The request ran. */
	COMPLETED,

	/** The request may have run. */
	OUTCOME_UNKNOWN,

	/** The request was not sent and never will be. */
	ABANDONED;

	boolean isEnded() {
		return this == COMPLETED || this == OUTCOME_UNKNOWN || this == ABANDONED;
	}

}
