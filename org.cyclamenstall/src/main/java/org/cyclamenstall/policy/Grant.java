package org.cyclamenstall.policy;

import org.cyclamenstall.hosts.ListedHost;

/**
 * Holds one slot of one upstream for one attempt. Thread-safe.
 */
public interface Grant {

	/**
	 * Returns the upstream to send to.
	 * @return the upstream
	 */
	ListedHost upstream();

	/**
	 * Returns the number of this attempt, from 1.
	 * @return the number
	 */
	int attempt();

	/**
	 * Reports that the first byte or token of the answer arrived.
	 */
	void firstToken();

	/**
	 * Reports generated tokens.
	 * @param count how many arrived since the last report
	 */
	void tokens(int count);

	/**
	 * Reports the load that the upstream stated in its answer.
	 * @param running its running requests
	 * @param slots its slots
	 * @param ageMillis the age of its statement, in milliseconds
	 */
	void loadReported(int running, int slots, long ageMillis);

	/**
	 * Reports that the upstream says it takes no new work.
	 */
	void upstreamDraining();

	/**
	 * Ends the grant and frees its slot. Later calls have no effect.
	 * @param result how the attempt ended
	 */
	void ended(AttemptResult result);

}
