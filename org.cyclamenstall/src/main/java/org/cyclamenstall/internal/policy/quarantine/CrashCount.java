package org.cyclamenstall.internal.policy.quarantine;

/**
 * Counts the crashes of which a prompt part is suspected. Crashes of several upstreams at
 * one moment rather have a cause outside the requests, for example a loss of power, so
 * the moments are counted as well. Immutable.
 *
 * @param crashes the number of crashes
 * @param moments the number of different moments at which they occurred
 */
record CrashCount(int crashes, int moments) {

	/**
	 * Returns whether both numbers reach those of a threshold.
	 * @param threshold the threshold
	 * @return {@code true} if neither number is lower
	 */
	boolean reaches(CrashCount threshold) {
		return this.crashes >= threshold.crashes && this.moments >= threshold.moments;
	}

}
