package org.cyclamenstall.internal.metering;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

import org.cyclamenstall.internal.peers.load.LoadEndpoint;
import org.cyclamenstall.kernel.SuspendAwareClock;

/**
 * Time of day on which all daemons agree: the median of what they say, held on a clock
 * that never jumps. The leader takes the median; the other daemons adopt its time. A jump
 * of the time of day of some hosts does not move it. Thread-safe.
 */
public final class FleetClock {

	/** Age after which the time of another daemon no longer counts. */
	private static final long SAMPLE_EXPIRY_NANOS = Duration.ofSeconds(2).toNanos();

	/** Number of daemons, including this one, from which a median is taken. */
	private static final int MINIMUM_SAMPLES = 3;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final SuspendAwareClock clock;

	private final LongSupplier wallMillis;

	private final Map<LoadEndpoint, Sample> samples = new HashMap<>();

	/** Difference between the time of day and the clock, in milliseconds. */
	private long offsetMillis;

	/**
	 * Creates a clock that shows the time of day of this host.
	 * @param clock the clock that holds the time
	 * @param wallMillis the time of day of this host, in milliseconds since the epoch
	 */
	public FleetClock(SuspendAwareClock clock, LongSupplier wallMillis) {
		this.clock = clock;
		this.wallMillis = wallMillis;
		this.offsetMillis = wallMillis.getAsLong() - steadyMillis();
	}

	/**
	 * Returns the time on which the daemons agree.
	 * @return the time in milliseconds since the epoch
	 */
	public synchronized long millis() {
		return steadyMillis() + this.offsetMillis;
	}

	/**
	 * Returns the time of day of this host.
	 * @return the time in milliseconds since the epoch
	 */
	long wallMillis() {
		return this.wallMillis.getAsLong();
	}

	/**
	 * Adopts the time of the leader.
	 * @param millis the time in milliseconds since the epoch
	 */
	public synchronized void adopt(long millis) {
		this.offsetMillis = millis - steadyMillis();
	}

	/**
	 * Records the time of day of another daemon.
	 * @param daemon the daemon
	 * @param millis its time in milliseconds since the epoch
	 */
	public synchronized void record(LoadEndpoint daemon, long millis) {
		this.samples.put(daemon, new Sample(millis - steadyMillis(), this.clock.nanoTime()));
	}

	/**
	 * Adopts the median of the times of all daemons that were heard lately. Has no effect
	 * while there are too few to tell which one is wrong.
	 */
	public synchronized void adoptMedian() {
		long nowNanos = this.clock.nanoTime();
		this.samples.values().removeIf((sample) -> nowNanos - sample.receivedAtNanos() > SAMPLE_EXPIRY_NANOS);
		if (this.samples.size() + 1 < MINIMUM_SAMPLES) {
			return;
		}
		long[] offsets = new long[this.samples.size() + 1];
		int count = 0;
		for (Sample sample : this.samples.values()) {
			offsets[count] = sample.offsetMillis();
			count++;
		}
		offsets[count] = wallMillis() - steadyMillis();
		Arrays.sort(offsets);
		this.offsetMillis = offsets[offsets.length / 2];
	}

	private long steadyMillis() {
		return this.clock.nanoTime() / NANOS_PER_MILLI;
	}

	private record Sample(long offsetMillis, long receivedAtNanos) {

	}

}
