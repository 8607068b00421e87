package org.cyclamenstall.claims;

/**
 * Tells what the claimant of a named request knows of its attempt.
 */
public enum ClaimStatus {

	/** Nothing is known, or it is known that the request may have run. */
	UNKNOWN,

	/** The attempt is claimed or sent and has not ended. */
	IN_PROGRESS,

	/** The attempt was given up and can never be sent. */
	ABANDONED,

	/** The attempt ran. */
	COMPLETED

}
