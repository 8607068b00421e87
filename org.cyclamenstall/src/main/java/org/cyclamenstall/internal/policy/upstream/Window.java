package org.cyclamenstall.internal.policy.upstream;

/**
 * Bounds the concurrent requests of this daemon at one upstream. Does no input or output.
 * Not thread-safe: the controller's lock guards it.
 */
public interface Window {

	/**
	 * Returns the bound.
	 * @param slots the slots of the upstream
	 * @return the largest number of concurrent requests, at least one
	 */
	int size(int slots);

	/**
	 * Takes the time to the first byte or token of an attempt.
	 * @param durationNanos the duration in nanoseconds
	 * @param inFlight the concurrent requests at that time, this one included
	 */
	void firstToken(long durationNanos, int inFlight);

	/**
	 * Takes the average pause between the tokens of an attempt.
	 * @param durationNanos the duration in nanoseconds
	 */
	void tokenGap(long durationNanos);

	/**
	 * Takes the news that the upstream refused work because it was full.
	 */
	void refused();

}
