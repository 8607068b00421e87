package org.cyclamenstall.internal.peers.load;

import java.time.Duration;

/**
 * Detects that this daemon was paused, for example by a suspended host. Datagrams that
 * waited meanwhile are older than they say. Thread-safe.
 */
public final class PauseDetector {

	/** Time without a sign of activity that counts as a pause, beyond the interval. */
	private static final Duration MINIMUM_PAUSE = Duration.ofMillis(500);

	/** Time after a pause in which waiting datagrams are read. */
	private static final Duration RECOVERY_TIME = Duration.ofMillis(500);

	private long activeAtNanos;

	private long distrustedUntilNanos;

	private boolean distrusted;

	/**
	 * Creates a detector.
	 * @param nowNanos the time on the monotonic clock
	 */
	public PauseDetector(long nowNanos) {
		this.activeAtNanos = nowNanos;
	}

	/**
	 * Records that this daemon is active. Called at regular intervals.
	 * @param nowNanos the time on the monotonic clock
	 * @param interval the interval of the calls
	 */
	public synchronized void recordActivity(long nowNanos, Duration interval) {
		if (nowNanos - this.activeAtNanos > interval.plus(MINIMUM_PAUSE).toNanos()) {
			this.distrusted = true;
			this.distrustedUntilNanos = nowNanos + RECOVERY_TIME.toNanos();
		}
		this.activeAtNanos = nowNanos;
	}

	/**
	 * Returns whether the age of a datagram that is read now is what it says.
	 * @param nowNanos the time on the monotonic clock
	 * @param interval the interval of the calls to {@link #recordActivity}
	 * @return {@code false} during a pause and shortly after it
	 */
	public synchronized boolean isTrusted(long nowNanos, Duration interval) {
		this.distrusted &= nowNanos - this.distrustedUntilNanos < 0;
		return !this.distrusted && nowNanos - this.activeAtNanos <= interval.plus(MINIMUM_PAUSE).toNanos();
	}

}
