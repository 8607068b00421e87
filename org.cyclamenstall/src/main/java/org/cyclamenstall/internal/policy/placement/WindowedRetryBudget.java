package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;

/**
 * Bounds the sends beyond the first of each request to a share of the requests in a
 * sliding window. Every daemon keeps to the share of its own requests, so all together do
 * without a message. Answers the load pattern of a service that fails while its callers
 * press again. Not thread-safe.
 */
final class WindowedRetryBudget {

	private static final int BUCKETS = 20;

	private final int[] requests = new int[BUCKETS];

	private final int[] repeats = new int[BUCKETS];

	private final long bucketNanos;

	private final double share;

	private final int floor;

	private long bucket = Long.MIN_VALUE;

	/**
	 * Creates a budget.
	 * @param window the length of the window
	 * @param share the repeats allowed for each request
	 * @param floor the repeats allowed in a window without requests
	 */
	WindowedRetryBudget(Duration window, double share, int floor) {
		this.bucketNanos = window.toNanos() / BUCKETS;
		this.share = share;
		this.floor = floor;
	}

	void requested(long nowNanos) {
		this.requests[advance(nowNanos)]++;
	}

	/**
	 * Takes one repeat from the budget.
	 * @param nowNanos the time on the monotonic clock
	 * @return whether the budget had one
	 */
	boolean take(long nowNanos) {
		int index = advance(nowNanos);
		if (sum(this.repeats) + 1 > this.floor + this.share * sum(this.requests)) {
			return false;
		}
		this.repeats[index]++;
		return true;
	}

	private int advance(long nowNanos) {
		long current = Math.floorDiv(nowNanos, this.bucketNanos);
		if (this.bucket == Long.MIN_VALUE) {
			this.bucket = current;
		}
		long passed = Math.min(BUCKETS, current - this.bucket);
		for (long step = 1; step <= passed; step++) {
			int index = (int) Math.floorMod(this.bucket + step, (long) BUCKETS);
			this.requests[index] = 0;
			this.repeats[index] = 0;
		}
		this.bucket = Math.max(this.bucket, current);
		return (int) Math.floorMod(this.bucket, (long) BUCKETS);
	}

	private static int sum(int[] counts) {
		int total = 0;
		for (int count : counts) {
			total += count;
		}
		return total;
	}

}
