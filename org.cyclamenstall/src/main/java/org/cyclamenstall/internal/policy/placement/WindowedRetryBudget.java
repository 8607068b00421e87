package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;

/**
 * Limits retries to a share of the requests in a sliding window, so that retries do not
 * multiply the load on a failing service. Each daemon limits the retries of its own
 * requests, so that all daemons together stay within the share. Not thread-safe.
 */
final class WindowedRetryBudget {

	private static final int BUCKETS = 20;

	private final int[] requests = new int[BUCKETS];

	private final int[] retries = new int[BUCKETS];

	private final long bucketNanos;

	private final double share;

	private long currentBucket = Long.MIN_VALUE;

	/**
	 * Creates a budget.
	 * @param window the length of the sliding window
	 * @param share the maximum ratio of retries to requests in the window
	 */
	WindowedRetryBudget(Duration window, double share) {
		this.bucketNanos = window.toNanos() / BUCKETS;
		this.share = share;
	}

	void recordRequest(long nowNanos) {
		this.requests[advance(nowNanos)]++;
	}

	/**
	 * Acquires one retry from the budget.
	 * @param minimumRetries the number of retries allowed in the window beyond the share
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} if the budget allowed it
	 */
	boolean tryAcquire(int minimumRetries, long nowNanos) {
		int index = advance(nowNanos);
		if (sum(this.retries) + 1 > minimumRetries + this.share * sum(this.requests)) {
			return false;
		}
		this.retries[index]++;
		return true;
	}

	/**
	 * Moves the window to the current time and clears the buckets that it enters.
	 * @param nowNanos the time on the monotonic clock
	 * @return the index of the current bucket
	 */
	private int advance(long nowNanos) {
		long newBucket = Math.floorDiv(nowNanos, this.bucketNanos);
		if (this.currentBucket == Long.MIN_VALUE) {
			this.currentBucket = newBucket;
		}
		long elapsed = Math.min(BUCKETS, newBucket - this.currentBucket);
		for (long step = 1; step <= elapsed; step++) {
			int index = (int) Math.floorMod(this.currentBucket + step, (long) BUCKETS);
			this.requests[index] = 0;
			this.retries[index] = 0;
		}
		this.currentBucket = Math.max(this.currentBucket, newBucket);
		return (int) Math.floorMod(this.currentBucket, (long) BUCKETS);
	}

	private static int sum(int[] counts) {
		int total = 0;
		for (int count : counts) {
			total += count;
		}
		return total;
	}

}
