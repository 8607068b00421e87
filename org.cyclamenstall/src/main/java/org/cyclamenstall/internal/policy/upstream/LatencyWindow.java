package org.cyclamenstall.internal.policy.upstream;

import org.HdrHistogram.Histogram;

/**
 * Keeps quantiles of a duration over the last seconds, in two halves that replace each
 * other. Not thread-safe.
 */
public final class LatencyWindow {

	private static final long HALF_NANOS = 15_000_000_000L;

	private static final long LARGEST_MICROS = 3_600_000_000L;

	private static final int DIGITS = 2;

	private static final long MICROS = 1_000;

	private static final int REFRESH_SAMPLES = 64;

	private static final double MEDIAN = 50;

	private static final double TAIL = 95;

	private Histogram current = new Histogram(LARGEST_MICROS, DIGITS);

	private Histogram previous = new Histogram(LARGEST_MICROS, DIGITS);

	private long currentSinceNanos;

	private long samplesSinceRefresh;

	private long medianNanos;

	private long tailNanos;

	/**
	 * Records a duration.
	 * @param durationNanos the duration in nanoseconds
	 * @param nowNanos the time on the monotonic clock
	 */
	public void record(long durationNanos, long nowNanos) {
		rotate(nowNanos);
		this.current.recordValue(Math.max(0, Math.min(durationNanos / MICROS, LARGEST_MICROS)));
		this.samplesSinceRefresh++;
		if (this.samplesSinceRefresh >= REFRESH_SAMPLES || count() <= REFRESH_SAMPLES) {
			refresh();
		}
	}

	/**
	 * Returns the number of durations in the window.
	 * @return the count
	 */
	public long count() {
		return this.current.getTotalCount() + this.previous.getTotalCount();
	}

	/**
	 * Returns the median.
	 * @return the median in nanoseconds, or zero while nothing was recorded
	 */
	public long medianNanos() {
		return this.medianNanos;
	}

	/**
	 * Returns the 95th percentile.
	 * @return the percentile in nanoseconds, or zero while nothing was recorded
	 */
	public long tailNanos() {
		return this.tailNanos;
	}

	private void rotate(long nowNanos) {
		if (count() == 0) {
			this.currentSinceNanos = nowNanos;
		}
		else if (nowNanos - this.currentSinceNanos >= HALF_NANOS) {
			Histogram oldest = this.previous;
			this.previous = this.current;
			oldest.reset();
			this.current = oldest;
			this.currentSinceNanos = nowNanos;
		}
	}

	private void refresh() {
		this.samplesSinceRefresh = 0;
		Histogram fuller = (this.current.getTotalCount() >= REFRESH_SAMPLES || this.previous.getTotalCount() == 0)
				? this.current : this.previous;
		this.medianNanos = fuller.getValueAtPercentile(MEDIAN) * MICROS;
		this.tailNanos = fuller.getValueAtPercentile(TAIL) * MICROS;
	}

}
