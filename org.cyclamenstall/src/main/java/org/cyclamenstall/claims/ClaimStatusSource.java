package org.cyclamenstall.claims;

/**
 * Provides peers with the status of the attempts claimed by this daemon. Thread-safe; no
 * method blocks.
 */
@FunctionalInterface
public interface ClaimStatusSource {

	/**
	 * Returns the status of an attempt claimed by this incarnation of the daemon.
	 * @param attempt the identifier of the attempt
	 * @return the status, with the response if the request was executed and the response
	 * is in memory
	 */
	ClaimantResponse statusOf(String attempt);

}
