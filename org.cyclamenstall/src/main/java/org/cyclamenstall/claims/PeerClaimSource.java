package org.cyclamenstall.claims;

/**
 * Tells other daemons what became of the attempts that this daemon claimed. Thread-safe;
 * no method blocks.
 */
@FunctionalInterface
public interface PeerClaimSource {

	/**
	 * Returns what is known of an attempt of this incarnation.
	 * @param attempt the attempt
	 * @return the status, with the answer if it ran and the answer is at hand
	 */
	ClaimantAnswer statusOf(String attempt);

}
