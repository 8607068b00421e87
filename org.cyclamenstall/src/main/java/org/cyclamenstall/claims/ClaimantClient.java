package org.cyclamenstall.claims;

/**
 * Queries the daemon that claimed a request about the outcome of the attempt.
 * Thread-safe.
 */
@FunctionalInterface
public interface ClaimantClient {

	/**
	 * Queries a claimant. Blocks for a bounded time and does not throw if the peer is
	 * unresponsive.
	 * @param host the name of the claimant's host
	 * @param incarnation the incarnation of the daemon that made the claim
	 * @param attempt the identifier of the attempt
	 * @return the response, or {@link ClaimantResponse#UNKNOWN} if the claimant is
	 * unresponsive, unknown or has another incarnation
	 */
	ClaimantResponse query(String host, long incarnation, String attempt);

}
