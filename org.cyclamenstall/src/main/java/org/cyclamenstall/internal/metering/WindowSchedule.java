package org.cyclamenstall.internal.metering;

import java.time.Duration;

/**
 * Divides time into numbered windows: window number k begins k durations after the epoch.
 * Immutable.
 *
 * @param duration the duration of a window
 * @param lateness the time after the end of a window until its report is due
 */
public record WindowSchedule(Duration duration, Duration lateness) {

	/**
	 * Returns the window of a time.
	 * @param millis the time in milliseconds since the epoch
	 * @return the number of the window
	 */
	public long windowAt(long millis) {
		return Math.floorDiv(millis, this.duration.toMillis());
	}

	/**
	 * Returns the end of a window.
	 * @param window the number of the window
	 * @return the time in milliseconds since the epoch
	 */
	public long endMillis(long window) {
		return (window + 1) * this.duration.toMillis();
	}

	/**
	 * Returns how many windows, including the current one, are kept until their reports
	 * are settled.
	 * @return the number
	 */
	public int keptWindows() {
		return 3 + (int) (this.lateness.toMillis() / this.duration.toMillis());
	}

}
