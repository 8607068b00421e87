package org.cyclamenstall.claims;

/**
 * Asks the daemon that claimed a named request what became of it. Thread-safe.
 */
@FunctionalInterface
public interface ClaimantQuery {

	/**
	 * Asks a claimant. Blocks for a bounded time; never throws for a silent peer.
	 * @param host the name of the claimant's host
	 * @param incarnation the incarnation that claimed
	 * @param attempt the attempt
	 * @return the claimant's answer; {@link ClaimantAnswer#UNKNOWN} if it is silent,
	 * unknown or another incarnation
	 */
	ClaimantAnswer ask(String host, long incarnation, String attempt);

}
