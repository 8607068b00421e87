package org.cyclamenstall.internal.policy.upstream;

/**
 * Limits the concurrent requests of this daemon at one upstream. Performs no I/O. Not
 * thread-safe: guarded by the lock of the controller.
 */
public interface Window {

	/**
	 * Returns the current limit.
	 * @param slots the number of slots of the upstream
	 * @return the maximum number of concurrent requests, at least one
	 */
	int size(int slots);

	/**
	 * Records the time to the first byte or token of an attempt.
	 * @param durationNanos the duration in nanoseconds
	 * @param inFlight the number of concurrent requests at that time, including this one
	 */
	void recordFirstToken(long durationNanos, int inFlight);

	/**
	 * Records the average gap between the tokens of an attempt.
	 * @param durationNanos the duration in nanoseconds; zero or less if there is no gap
	 */
	void recordTokenGap(long durationNanos);

	/**
	 * Records that the upstream refused a request because it was full.
	 */
	void recordRefusal();

}
