package org.cyclamenstall.claims;

import org.cyclamenstall.errors.ErrorKind;

/**
 * The decision on a request with an idempotency key: it may be sent, it is answered with
 * the response to an earlier request, or it is refused.
 */
public sealed interface ClaimDecision {

	/**
	 * This daemon holds the claim and may send the request.
	 *
	 * @param claim the claim
	 */
	record Granted(Claim claim) implements ClaimDecision {

	}

	/**
	 * The request was executed earlier; its response is replayed.
	 *
	 * @param response the stored response
	 */
	record Replayed(StoredResponse response) implements ClaimDecision {

	}

	/**
	 * The request is refused.
	 *
	 * @param kind the kind of the error
	 * @param detail the error message for the caller
	 */
	record Refused(ErrorKind kind, String detail) implements ClaimDecision {

	}

}
