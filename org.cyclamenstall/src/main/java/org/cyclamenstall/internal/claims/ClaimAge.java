package org.cyclamenstall.internal.claims;

import java.time.Duration;
import java.time.InstantSource;

import org.cyclamenstall.kernel.MonotonicClock;

/**
 * The age of a claim, measured from before its first write to the store. The larger of
 * the ages by the monotonic clock and by the wall clock counts: the monotonic clock may
 * stop while the machine is suspended, and the wall clock may be set back. Immutable and
 * therefore thread-safe.
 */
final class ClaimAge {

	private final MonotonicClock clock;

	private final InstantSource wallClock;

	private final long startNanos;

	private final long startMillis;

	private final long maximumMillis;

	ClaimAge(MonotonicClock clock, InstantSource wallClock, long maximumMillis) {
		this.clock = clock;
		this.wallClock = wallClock;
		this.startNanos = clock.nanoTime();
		this.startMillis = wallClock.millis();
		this.maximumMillis = maximumMillis;
	}

	long startMillis() {
		return this.startMillis;
	}

	boolean exceedsMaximum() {
		long monotonicMillis = Duration.ofNanos(this.clock.nanoTime() - this.startNanos).toMillis();
		long wallMillis = this.wallClock.millis() - this.startMillis;
		return Math.max(monotonicMillis, wallMillis) > this.maximumMillis;
	}

}
