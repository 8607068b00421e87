package org.cyclamenstall.internal.policy.upstream;

/**
 * Tracks whether an upstream takes new work: draining, unreachable, ejected for slowness,
 * or on probation with one request at a time. Not thread-safe.
 */
public final class Health {

	private static final long UNREACHABLE_NANOS = 250_000_000L;

	private static final long LONGEST_UNREACHABLE_NANOS = 8_000_000_000L;

	private static final long DRAINING_NANOS = 60_000_000_000L;

	private static final long EJECTED_NANOS = 5_000_000_000L;

	private static final long LONGEST_EJECTED_NANOS = 60_000_000_000L;

	private static final int FAILURES_IN_A_ROW = 3;

	private boolean closed;

	private boolean ejected;

	private boolean probation;

	private long untilNanos;

	private int unreachableInARow;

	private int ejectionsInARow;

	private int failuresInARow;

	/**
	 * Takes the news that a connection was refused.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void unreachable(long nowNanos) {
		long pause = Math.min(UNREACHABLE_NANOS << Math.min(this.unreachableInARow, 16), LONGEST_UNREACHABLE_NANOS);
		this.unreachableInARow++;
		close(nowNanos + pause);
	}

	/**
	 * Takes the news that the upstream drains.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void draining(long nowNanos) {
		close(nowNanos + DRAINING_NANOS);
	}

	private void close(long endNanos) {
		if (!this.closed || endNanos - this.untilNanos > 0) {
			this.untilNanos = endNanos;
		}
		this.closed = true;
		this.probation = true;
	}

	/**
	 * Takes the news that the host list shows the upstream as live again.
	 */
	public void relisted() {
		this.closed = false;
		this.unreachableInARow = 0;
	}

	/**
	 * Ejects the upstream for a while that doubles each time in a row.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void eject(long nowNanos) {
		long pause = Math.min(EJECTED_NANOS << Math.min(this.ejectionsInARow, 16), LONGEST_EJECTED_NANOS);
		this.ejectionsInARow++;
		this.ejected = true;
		this.probation = true;
		this.failuresInARow = 0;
		if (!this.closed) {
			this.untilNanos = nowNanos + pause;
		}
	}

	/**
	 * Takes an attempt that failed.
	 * @return whether the upstream failed so often in a row that it should be ejected
	 */
	public boolean failed() {
		this.failuresInARow++;
		return this.failuresInARow >= FAILURES_IN_A_ROW || this.probation;
	}

	/**
	 * Takes an attempt that went well.
	 */
	public void succeeded() {
		this.failuresInARow = 0;
		this.unreachableInARow = 0;
		if (!this.closed && !this.ejected) {
			this.probation = false;
			this.ejectionsInARow = 0;
		}
	}

	/**
	 * Returns whether the upstream takes no work because it drains or is unreachable.
	 * @param nowNanos the time on the monotonic clock
	 * @return whether it is closed
	 */
	public boolean isClosed(long nowNanos) {
		settle(nowNanos);
		return this.closed;
	}

	/**
	 * Returns whether the upstream is ejected.
	 * @param nowNanos the time on the monotonic clock
	 * @return whether it is ejected
	 */
	public boolean isEjected(long nowNanos) {
		settle(nowNanos);
		return this.ejected;
	}

	/**
	 * Returns whether the upstream is on probation.
	 * @return whether it takes one request at a time
	 */
	public boolean isOnProbation() {
		return this.probation;
	}

	/**
	 * Returns whether the upstream may take another request.
	 * @param nowNanos the time on the monotonic clock
	 * @param probed whether a probe is in flight
	 * @return whether it may
	 */
	public boolean acceptsWork(long nowNanos, boolean probed) {
		settle(nowNanos);
		return !this.closed && !this.ejected && !(this.probation && probed);
	}

	private void settle(long nowNanos) {
		if ((this.closed || this.ejected) && nowNanos - this.untilNanos >= 0) {
			this.closed = false;
			this.ejected = false;
		}
	}

}
