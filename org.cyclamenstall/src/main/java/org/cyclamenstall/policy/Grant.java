package org.cyclamenstall.policy;

import org.cyclamenstall.hosts.ListedHost;

/**
 * Represents the permission to run one attempt, which occupies one slot of an upstream
 * until it is released. Thread-safe.
 */
public interface Grant {

	/**
	 * Returns the upstream that the attempt is sent to.
	 * @return the upstream
	 */
	ListedHost upstream();

	/**
	 * Returns the number of this attempt within its request.
	 * @return the attempt number, starting at 1
	 */
	int attempt();

	/**
	 * Records the arrival of the first byte or token of the response.
	 */
	void recordFirstToken();

	/**
	 * Records generated tokens.
	 * @param count the number of tokens received since the previous call
	 */
	void recordTokens(int count);

	/**
	 * Records the load that the upstream reported in its response.
	 * @param running the number of requests running at the upstream
	 * @param slots the total number of slots of the upstream
	 * @param ageMillis the age of the load report, in milliseconds
	 */
	void recordLoad(int running, int slots, long ageMillis);

	/**
	 * Records that the upstream is draining and accepts no new requests.
	 */
	void markUpstreamDraining();

	/**
	 * Releases the grant and its slot. Only the first call has an effect.
	 * @param result the outcome of the attempt
	 */
	void release(AttemptResult result);

}
