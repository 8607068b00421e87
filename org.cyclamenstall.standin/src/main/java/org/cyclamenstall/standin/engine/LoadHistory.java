package org.cyclamenstall.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Records the number of running requests over time, so that load reports can be delayed.
 * Not thread-safe.
 */
final class LoadHistory {

	// The maximum report lag that the engine options allow.
	private static final long RETENTION_NANOS = 60_000_000_000L;

	private final Deque<Sample> samples = new ArrayDeque<>();

	void record(long nowNanos, int running) {
		this.samples.addLast(new Sample(nowNanos, running));
		while (this.samples.size() > 1 && nowNanos - this.samples.peekFirst().atNanos > RETENTION_NANOS) {
			this.samples.removeFirst();
		}
	}

	int runningAt(long nanos) {
		int running = 0;
		for (Sample sample : this.samples) {
			if (sample.atNanos - nanos > 0) {
				break;
			}
			running = sample.running;
		}
		return running;
	}

	private record Sample(long atNanos, int running) {

	}

}
