package org.cyclamenstall.junit;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;

import org.cyclamenstall.kernel.MonotonicClock;

/**
 * Stands still until a test moves it. Serves as both the monotonic clock and the wall
 * clock, which can be moved apart. Thread-safe.
 */
public final class ManualClock implements MonotonicClock, InstantSource {

	private static final long FIRST_MONOTONIC_NANOS = 1_000_000_000L;

	private static final Instant FIRST_INSTANT = Instant.parse("2026-01-01T00:00:00Z");

	private final AtomicLong monotonicNanos = new AtomicLong(FIRST_MONOTONIC_NANOS);

	private final AtomicLong wallNanos = new AtomicLong();

	@Override
	public long nanoTime() {
		return this.monotonicNanos.get();
	}

	@Override
	public Instant instant() {
		return FIRST_INSTANT.plusNanos(this.wallNanos.get());
	}

	/**
	 * Moves both clocks forward.
	 * @param duration the time that passes
	 */
	public void advance(Duration duration) {
		this.monotonicNanos.addAndGet(duration.toNanos());
		this.wallNanos.addAndGet(duration.toNanos());
	}

	/**
	 * Moves the monotonic clock only.
	 * @param duration the time that passes
	 */
	public void advanceMonotonic(Duration duration) {
		this.monotonicNanos.addAndGet(duration.toNanos());
	}

	/**
	 * Moves the wall clock only, forward or back.
	 * @param duration the step
	 */
	public void advanceWall(Duration duration) {
		this.wallNanos.addAndGet(duration.toNanos());
	}

}
