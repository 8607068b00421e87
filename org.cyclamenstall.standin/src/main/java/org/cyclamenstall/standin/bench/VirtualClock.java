package org.cyclamenstall.standin.bench;

import java.util.PriorityQueue;

import org.cyclamenstall.kernel.MonotonicClock;

/**
 * Discrete-event scheduler whose virtual clock advances only between events. Not
 * thread-safe.
 */
final class VirtualClock implements MonotonicClock {

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private long nowNanos = 1;

	private long sequence;

	@Override
	public long nanoTime() {
		return this.nowNanos;
	}

	void schedule(long delayNanos, Runnable action) {
		this.events.add(new Event(this.nowNanos + Math.max(0, delayNanos), this.sequence++, action));
	}

	void runUntil(long endNanos) {
		while (!this.events.isEmpty() && this.events.peek().atNanos <= endNanos) {
			Event event = this.events.remove();
			this.nowNanos = event.atNanos;
			event.action.run();
		}
		this.nowNanos = endNanos;
	}

	private record Event(long atNanos, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int result = Long.compare(this.atNanos, other.atNanos);
			return (result != 0) ? result : Long.compare(this.sequence, other.sequence);
		}

	}

}
