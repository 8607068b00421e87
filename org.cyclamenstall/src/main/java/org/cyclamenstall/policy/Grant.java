package org.cyclamenstall.policy;

import java.time.Duration;

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
	 * Records that the upstream wants no requests for a time.
	 * @param duration the time from now
	 */
	default void recordUnavailable(Duration duration) {
	}

	/**
	 * Returns whether the request may still be sent. Called directly before its first
	 * byte is sent.
	 * @return {@code false} if the upstream has announced meanwhile that it wants no
	 * requests
	 */
	default boolean maySend() {
		return true;
	}

	/**
	 * Releases the grant and its slot. Only the first call has an effect.
	 * @param result the outcome of the attempt
	 */
	void release(AttemptResult result);

}
