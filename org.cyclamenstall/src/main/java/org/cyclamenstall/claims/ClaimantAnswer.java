package org.cyclamenstall.claims;

import org.jspecify.annotations.Nullable;

/**
 * The response of a claimant to a query about an attempt. Immutable.
 *
 * @param status the status of the attempt
 * @param answer the response of a completed attempt, or {@code null} if it was not
 * retained
 */
public record ClaimantAnswer(ClaimStatus status, @Nullable StoredAnswer answer) {

	/** Nothing is known about the attempt. */
	public static final ClaimantAnswer UNKNOWN = new ClaimantAnswer(ClaimStatus.UNKNOWN, null);

	/** The attempt has not ended. */
	public static final ClaimantAnswer IN_PROGRESS = new ClaimantAnswer(ClaimStatus.IN_PROGRESS, null);

	/** The attempt can never be sent. */
	public static final ClaimantAnswer ABANDONED = new ClaimantAnswer(ClaimStatus.ABANDONED, null);

}
