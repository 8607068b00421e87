package org.cyclamenstall.internal.policy;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.policy.RetryReason;

/**
 * Computes the delay before a retry: zero for an interrupted or preempted stream, since
 * its caller is waiting for the rest, and for the first retry of a request that was
 * provably not executed; otherwise exponential backoff with full jitter. Performs no I/O.
 */
final class Backoff {

	/** Half of the maximum delay before the first retry. */
	private static final long BASE_DELAY_NANOS = 25_000_000L;

	private static final long MAXIMUM_DELAY_NANOS = 1_000_000_000L;

	private static final int MAXIMUM_DOUBLINGS = 8;

	private final UniformRandomProvider random;

	Backoff(UniformRandomProvider random) {
		this.random = random;
	}

	long delayNanos(RetryReason reason, int retryCount) {
		if (reason == RetryReason.PREEMPTED || reason == RetryReason.STREAM_CUT
				|| (isNotExecuted(reason) && retryCount == 1)) {
			return 0;
		}
		long maximumNanos = Math.min(MAXIMUM_DELAY_NANOS, BASE_DELAY_NANOS << Math.min(retryCount, MAXIMUM_DOUBLINGS));
		return this.random.nextLong(maximumNanos);
	}

	private static boolean isNotExecuted(RetryReason reason) {
		return reason == RetryReason.UNREACHABLE || reason == RetryReason.REFUSED;
	}

}
