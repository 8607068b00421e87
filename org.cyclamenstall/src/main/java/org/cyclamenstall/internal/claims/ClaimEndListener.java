package org.cyclamenstall.internal.claims;

import org.cyclamenstall.claims.StoredResponse;
import org.jspecify.annotations.Nullable;

/**
 * Listener for the end of claims. Thread-safe; no method blocks.
 */
interface ClaimEndListener {

	/**
	 * Decides whether a response is retained until it is stored, and reserves memory for
	 * it.
	 * @param response the response
	 * @return the response, or {@code null} if it exceeds a memory limit and is not
	 * retained
	 */
	@Nullable StoredResponse retainResponse(StoredResponse response);

	/**
	 * Called when a claim has reached a final phase.
	 * @param claim the claim
	 */
	void onClaimEnded(LocalClaim claim);

}
