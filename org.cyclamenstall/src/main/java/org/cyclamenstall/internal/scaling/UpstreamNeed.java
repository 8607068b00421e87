package org.cyclamenstall.internal.scaling;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates how many upstreams a service needs, from the engine time that its requests
 * take. The highest need of the observation period counts: an order takes effect only
 * after the boot time, when a crest may be over and the next one near. Until a whole
 * period was observed, the need is at least what was found at the start, because a lack
 * of traffic says nothing then. Not thread-safe. Times are in nanoseconds on a clock that
 * includes suspension.
 */
public final class UpstreamNeed {

	/**
	 * Share of its time that an engine may be busy so that first events and the gaps of
	 * its streams stay within their objectives.
	 */
	private static final double MAXIMUM_BUSY_SHARE = 0.65;

	/** Period over which a rate is taken, so that single requests do not count. */
	private static final long RATE_PERIOD_NANOS = Duration.ofSeconds(2).toNanos();

	private static final long OBSERVATION_NANOS = Duration.ofMinutes(5).toNanos();

	/** Time without growth after which all upstreams count as found. */
	private static final long STABLE_NANOS = Duration.ofSeconds(2).toNanos();

	private static final double NANOS_PER_MILLI = 1e6;

	private final Deque<Total> totals = new ArrayDeque<>();

	private final Deque<Peak> peaks = new ArrayDeque<>();

	private final long startedAtNanos;

	private double initialCount;

	/** Time at which the initial count has last grown. */
	private long grownAtNanos;

	private boolean initialCountKnown;

	/**
	 * Creates an estimate without observations.
	 * @param nowNanos the time
	 */
	public UpstreamNeed(long nowNanos) {
		this.startedAtNanos = nowNanos;
		this.grownAtNanos = nowNanos;
	}

	/**
	 * Records how many upstreams are certain to serve, until it is known how many were
	 * found at the start. While upstreams start together with the daemons, their number
	 * grows, and the highest one counts.
	 * @param count the number
	 * @param nowNanos the time
	 */
	public void recordInitialCount(double count, long nowNanos) {
		if (count > this.initialCount) {
			this.initialCount = count;
			this.grownAtNanos = nowNanos;
		}
		this.initialCountKnown = nowNanos - this.grownAtNanos >= STABLE_NANOS;
	}

	/**
	 * Returns whether it is known how many upstreams were found at the start.
	 * @return {@code false} while the number of upstreams at the start has grown lately
	 */
	public boolean isInitialCountKnown() {
		return this.initialCountKnown;
	}

	/**
	 * Records the engine time that all requests have taken so far.
	 * @param totalMillis the total in milliseconds, since any start
	 * @param nowNanos the time
	 */
	public void recordEngineTime(long totalMillis, long nowNanos) {
		this.totals.addLast(new Total(totalMillis, nowNanos));
		while (this.totals.size() > 2 && nowNanos - this.totals.getFirst().atNanos() > RATE_PERIOD_NANOS) {
			this.totals.removeFirst();
		}
		Total first = this.totals.getFirst();
		long elapsedNanos = nowNanos - first.atNanos();
		if (elapsedNanos >= RATE_PERIOD_NANOS / 2) {
			addPeak((totalMillis - first.millis()) * NANOS_PER_MILLI / elapsedNanos, nowNanos);
		}
	}

	// Keeps only values that are higher than all later ones.
	private void addPeak(double busyEngines, long nowNanos) {
		while (!this.peaks.isEmpty() && this.peaks.getLast().busyEngines() <= busyEngines) {
			this.peaks.removeLast();
		}
		this.peaks.addLast(new Peak(busyEngines, nowNanos));
		while (nowNanos - this.peaks.getFirst().atNanos() > OBSERVATION_NANOS) {
			this.peaks.removeFirst();
		}
	}

	/**
	 * Returns the number of upstreams that are needed.
	 * @param nowNanos the time
	 * @return the number
	 */
	public double upstreams(long nowNanos) {
		double observed = this.peaks.isEmpty() ? 0 : this.peaks.getFirst().busyEngines() / MAXIMUM_BUSY_SHARE;
		boolean observedWholePeriod = nowNanos - this.startedAtNanos >= OBSERVATION_NANOS;
		return observedWholePeriod ? Math.max(1, observed) : Math.max(this.initialCount, observed);
	}

	private record Total(long millis, long atNanos) {

	}

	private record Peak(double busyEngines, long atNanos) {

	}

}
