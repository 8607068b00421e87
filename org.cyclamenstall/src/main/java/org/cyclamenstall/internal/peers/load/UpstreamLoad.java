package org.cyclamenstall.internal.peers.load;

import org.cyclamenstall.internal.kernel.StableHash;

/**
 * Describes the work that one daemon has at one upstream. Immutable; the array is not
 * modified.
 *
 * @param upstreamKey the key of the upstream, see {@link #keyOf}
 * @param running the number of requests sent and not ended
 * @param latencySensitive the number of latency-sensitive streams among them
 * @param pendingTokens the prompt tokens of the requests without a first event, indexed
 * by priority level
 */
public record UpstreamLoad(long upstreamKey, int running, int latencySensitive, int[] pendingTokens) {

	/**
	 * Returns the key of an upstream, which is shorter than its name and the same on all
	 * daemons.
	 * @param host the name of the upstream
	 * @return the hash of the name
	 */
	public static long keyOf(String host) {
		return StableHash.of(host);
	}

}
