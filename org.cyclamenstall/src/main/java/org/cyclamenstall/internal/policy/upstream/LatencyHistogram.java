package org.cyclamenstall.internal.policy.upstream;

import org.HdrHistogram.Histogram;

/**
 * Computes percentiles of the durations in a sliding window. Two histograms alternate:
 * each records for half of the window, then the older one is reset. Percentiles are taken
 * from the newer one once it has enough samples, and from the older one until then. Not
 * thread-safe.
 */
public final class LatencyHistogram {

	private static final long HALF_WINDOW_NANOS = 15_000_000_000L;

	private static final long MAXIMUM_MICROS = 3_600_000_000L;

	private static final int SIGNIFICANT_DIGITS = 2;

	private static final long NANOS_PER_MICRO = 1_000;

	private static final int REFRESH_SAMPLES = 64;

	private static final double MEDIAN_PERCENTILE = 50;

	private static final double TAIL_PERCENTILE = 95;

	private Histogram current = new Histogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);

	private Histogram previous = new Histogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);

	private long currentSinceNanos;

	private long samplesSinceRefresh;

	private long medianNanos;

	private long percentile95Nanos;

	/**
	 * Records a duration.
	 * @param durationNanos the duration in nanoseconds
	 * @param nowNanos the time on the monotonic clock
	 */
	public void record(long durationNanos, long nowNanos) {
		rotate(nowNanos);
		this.current.recordValue(Math.max(0, Math.min(durationNanos / NANOS_PER_MICRO, MAXIMUM_MICROS)));
		this.samplesSinceRefresh++;
		if (this.samplesSinceRefresh >= REFRESH_SAMPLES || count() <= REFRESH_SAMPLES) {
			refresh();
		}
	}

	/**
	 * Returns the number of recorded durations in both histograms.
	 * @return the count
	 */
	public long count() {
		return this.current.getTotalCount() + this.previous.getTotalCount();
	}

	/**
	 * Returns the median.
	 * @return the median in nanoseconds, or zero if nothing was recorded
	 */
	public long medianNanos() {
		return this.medianNanos;
	}

	/**
	 * Returns the 95th percentile.
	 * @return the percentile in nanoseconds, or zero if nothing was recorded
	 */
	public long percentile95Nanos() {
		return this.percentile95Nanos;
	}

	private void rotate(long nowNanos) {
		if (count() == 0) {
			this.currentSinceNanos = nowNanos;
		}
		else if (nowNanos - this.currentSinceNanos >= HALF_WINDOW_NANOS) {
			Histogram oldest = this.previous;
			this.previous = this.current;
			oldest.reset();
			this.current = oldest;
			this.currentSinceNanos = nowNanos;
		}
	}

	private void refresh() {
		this.samplesSinceRefresh = 0;
		Histogram source = (this.current.getTotalCount() >= REFRESH_SAMPLES || this.previous.getTotalCount() == 0)
				? this.current : this.previous;
		this.medianNanos = source.getValueAtPercentile(MEDIAN_PERCENTILE) * NANOS_PER_MICRO;
		this.percentile95Nanos = source.getValueAtPercentile(TAIL_PERCENTILE) * NANOS_PER_MICRO;
	}

}
