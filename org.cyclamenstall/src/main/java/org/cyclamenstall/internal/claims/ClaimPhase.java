package org.cyclamenstall.internal.claims;

/**
 * The phases of a claim on the daemon that holds it.
 */
enum ClaimPhase {

	/** The claim is being written to the store. */
	CLAIMING,

	/** The record is in the store, and no upstream can have executed the request. */
	CLAIMED,

	/** The request is being or may have been sent to an upstream. */
	SENDING,

	/** The request was executed. */
	COMPLETED,

	/** The request may have been executed. */
	OUTCOME_UNKNOWN,

	/** The request was not executed and will never be sent. */
	ABANDONED;

	boolean isEnded() {
		return this == COMPLETED || this == OUTCOME_UNKNOWN || this == ABANDONED;
	}

}
