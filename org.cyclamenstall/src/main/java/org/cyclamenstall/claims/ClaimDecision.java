package org.cyclamenstall.claims;

import org.cyclamenstall.errors.ErrorKind;

/**
 * Tells what a named request may do.
 */
public sealed interface ClaimDecision {

	/**
	 * The request is claimed by this daemon and may be sent.
	 *
	 * @param claim the claim
	 */
	record Granted(Claim claim) implements ClaimDecision {

	}

	/**
	 * The request ran earlier; its answer is repeated.
	 *
	 * @param answer the answer
	 */
	record Replayed(StoredAnswer answer) implements ClaimDecision {

	}

	/**
	 * The request is refused.
	 *
	 * @param kind why
	 * @param detail the detail for the caller
	 */
	record Refused(ErrorKind kind, String detail) implements ClaimDecision {

	}

}
