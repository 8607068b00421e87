package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides when to refuse a queued request and after what delay its caller should retry.
 * When a load peak lasts longer than callers wait, a request that cannot complete in time
 * is refused early, so that its caller still has time to retry. Retry delays are spread
 * over the expected queueing time: the longer a request would wait, the later its caller
 * retries. Performs no I/O. Not thread-safe.
 */
final class OverloadPolicy {

	private static final long MINIMUM_RETRY_DELAY_NANOS = 150_000_000L;

	private static final double JITTER_SHARE = 0.5;

	/**
	 * Maximum retry delay as a share of the remaining time; callers ignore longer ones.
	 */
	private static final double MAXIMUM_RETRY_DELAY_SHARE = 0.3;

	private final UniformRandomProvider random;

	OverloadPolicy(UniformRandomProvider random) {
		this.random = random;
	}

	/**
	 * Returns whether to refuse a queued request.
	 * @param expectedWaitNanos the expected remaining time in the queue
	 * @param remainingDispatchNanos the remaining time in which it can be dispatched and
	 * still be answered
	 * @return {@code true} if it is expected to wait longer than that
	 */
	boolean shouldRefuse(double expectedWaitNanos, double remainingDispatchNanos) {
		return expectedWaitNanos > remainingDispatchNanos;
	}

	/**
	 * Returns the delay after which a caller should retry.
	 * @param expectedWaitNanos the expected wait of a request at this queue position
	 * @param remainingNanos the time until the caller times out
	 * @return the delay
	 */
	Duration retryDelay(double expectedWaitNanos, double remainingNanos) {
		double jitter = 1 + JITTER_SHARE * (this.random.nextDouble() * 2 - 1);
		double nanos = Math.max(MINIMUM_RETRY_DELAY_NANOS, expectedWaitNanos * jitter);
		return Duration.ofNanos((long) Math.max(1, Math.min(nanos, remainingNanos * MAXIMUM_RETRY_DELAY_SHARE)));
	}

}
