package org.cyclamenstall.claims;

/**
 * The status of an attempt as known to the daemon that claimed it.
 */
public enum ClaimStatus {

	/** Nothing is known, or the request may have been executed. */
	UNKNOWN,

	/** The attempt is being claimed or is claimed; it may have been sent. */
	IN_PROGRESS,

	/** The attempt was abandoned and can never be sent. */
	ABANDONED,

	/** The request was executed. */
	COMPLETED

}
