package org.cyclamenstall.junit;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;

import org.cyclamenstall.kernel.MonotonicClock;

/**
 * Implements a monotonic clock and a wall clock that change only when a test advances
 * them. The two can be advanced independently. Thread-safe.
 */
public final class ManualClock implements MonotonicClock, InstantSource {

	private static final long INITIAL_MONOTONIC_NANOS = 1_000_000_000L;

	private static final Instant INITIAL_INSTANT = Instant.parse("2026-01-01T00:00:00Z");

	private final AtomicLong monotonicNanos = new AtomicLong(INITIAL_MONOTONIC_NANOS);

	private final AtomicLong wallNanos = new AtomicLong();

	@Override
	public long nanoTime() {
		return this.monotonicNanos.get();
	}

	@Override
	public Instant instant() {
		return INITIAL_INSTANT.plusNanos(this.wallNanos.get());
	}

	/**
	 * Advances both clocks.
	 * @param duration the time to add
	 */
	public void advance(Duration duration) {
		this.monotonicNanos.addAndGet(duration.toNanos());
		this.wallNanos.addAndGet(duration.toNanos());
	}

	/**
	 * Advances the monotonic clock only.
	 * @param duration the time to add
	 */
	public void advanceMonotonic(Duration duration) {
		this.monotonicNanos.addAndGet(duration.toNanos());
	}

	/**
	 * Adjusts the wall clock only.
	 * @param duration the time to add, negative to set the clock back
	 */
	public void advanceWall(Duration duration) {
		this.wallNanos.addAndGet(duration.toNanos());
	}

}
