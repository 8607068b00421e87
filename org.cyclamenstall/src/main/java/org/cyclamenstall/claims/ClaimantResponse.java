package org.cyclamenstall.claims;

import org.jspecify.annotations.Nullable;

/**
 * The response of a claimant to a query about an attempt. Immutable.
 *
 * @param status the status of the attempt
 * @param answer the response of a completed attempt, or {@code null} if it was not
 * retained or the attempt is not completed
 */
public record ClaimantResponse(ClaimStatus status, @Nullable StoredResponse answer) {

	/** Nothing is known about the attempt. */
	public static final ClaimantResponse UNKNOWN = new ClaimantResponse(ClaimStatus.UNKNOWN, null);

	/** The attempt has not ended. */
	public static final ClaimantResponse IN_PROGRESS = new ClaimantResponse(ClaimStatus.IN_PROGRESS, null);

	/** The attempt can never be sent. */
	public static final ClaimantResponse ABANDONED = new ClaimantResponse(ClaimStatus.ABANDONED, null);

}
