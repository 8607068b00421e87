package org.cyclamenstall.internal.policy;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.policy.RetryReason;

/**
 * Gives the pause before a retry: none where the request provably did not run or its
 * caller waits in the middle of a stream, otherwise doubling with full jitter. Does no
 * input or output.
 */
final class Backoff {

	private static final long BASE_NANOS = 25_000_000L;

	private static final long LONGEST_NANOS = 1_000_000_000L;

	private static final int LARGEST_SHIFT = 8;

	private final UniformRandomProvider random;

	Backoff(UniformRandomProvider random) {
		this.random = random;
	}

	long pauseNanos(RetryReason reason, int attemptsMade) {
		if (reason == RetryReason.PREEMPTED || reason == RetryReason.STREAM_CUT
				|| (isNotRun(reason) && attemptsMade == 1)) {
			return 0;
		}
		long bound = Math.min(LONGEST_NANOS, BASE_NANOS << Math.min(attemptsMade, LARGEST_SHIFT));
		return this.random.nextLong(bound);
	}

	private static boolean isNotRun(RetryReason reason) {
		return reason == RetryReason.UNREACHABLE || reason == RetryReason.REFUSED;
	}

}
