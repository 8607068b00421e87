package org.cyclamenstall.claims;

import org.jspecify.annotations.Nullable;

/**
 * Answers a question for an attempt. Immutable.
 *
 * @param status what is known of the attempt
 * @param answer the answer of a completed attempt, or {@code null} if it was not kept
 */
public record ClaimantAnswer(ClaimStatus status, @Nullable StoredAnswer answer) {

	/** Tells that nothing is known. */
	public static final ClaimantAnswer UNKNOWN = new ClaimantAnswer(ClaimStatus.UNKNOWN, null);

	/** Tells that the attempt has not ended. */
	public static final ClaimantAnswer IN_PROGRESS = new ClaimantAnswer(ClaimStatus.IN_PROGRESS, null);

	/** Tells that the attempt can never be sent. */
	public static final ClaimantAnswer ABANDONED = new ClaimantAnswer(ClaimStatus.ABANDONED, null);

}
