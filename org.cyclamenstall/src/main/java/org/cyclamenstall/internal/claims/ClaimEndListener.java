package org.cyclamenstall.internal.claims;

import org.cyclamenstall.claims.StoredAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Hears of the end of claims. Thread-safe; no method blocks.
 */
interface ClaimEndListener {

	/**
	 * Decides whether an answer is kept, and accounts for its memory.
	 * @param answer the answer
	 * @return the same answer, or {@code null} if it is too large to be kept
	 */
	@Nullable StoredAnswer keepable(StoredAnswer answer);

	/**
	 * Takes a claim that reached an ended phase.
	 * @param claim the claim
	 */
	void ended(LocalClaim claim);

}
