package org.cyclamenstall.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;

import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.standin.http.CallCounts;

/**
 * Batches generations continuously: requests take free slots in order of priority, and
 * every step makes one token for each that runs. A step takes longer the more run.
 * Thread-safe.
 */
final class Batch {

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double NANOS_PER_SECOND = 1e9;

	private final EngineOptions options;

	private final MonotonicClock clock;

	private final CallCounts counts;

	private final PromptCache cache;

	private final LoadHistory history = new LoadHistory();

	private final List<Generation> running = new ArrayList<>();

	private final PriorityQueue<Generation> waiting = new PriorityQueue<>(
			Comparator.comparingInt(Generation::priority).thenComparingLong(Generation::sequence));

	private double slowdown = 1;

	private boolean stalled;

	private long arrivals;

	Batch(EngineOptions options, MonotonicClock clock, CallCounts counts) {
		this.options = options;
		this.clock = clock;
		this.counts = counts;
		this.cache = new PromptCache(options.cachedBlocks());
	}

	synchronized void setSpeed(double newSlowdown, boolean newStalled) {
		this.slowdown = newSlowdown;
		this.stalled = newStalled;
	}

	/**
	 * Takes a generation.
	 * @param generation the generation
	 * @return whether it runs or waits; {@code false} if all slots and the queue are full
	 */
	synchronized boolean submit(Generation generation) {
		if (this.running.size() >= this.options.slots() && this.waiting.size() >= this.options.queueLength()) {
			return false;
		}
		generation.enqueue(this.arrivals++);
		this.waiting.add(generation);
		admit();
		return true;
	}

	/**
	 * Drops a generation that did not complete.
	 * @param generation the generation
	 * @return whether it was still running or waiting
	 */
	synchronized boolean cancel(Generation generation) {
		boolean wasRunning = this.running.remove(generation);
		if (!wasRunning && !this.waiting.remove(generation)) {
			return false;
		}
		this.counts.increment("cancelled");
		this.counts.add("tokens-wasted", generation.tokensMade());
		admit();
		return true;
	}

	/**
	 * Makes one token for each running generation.
	 * @return the time until the next step, in nanoseconds
	 */
	synchronized long step() {
		long now = this.clock.nanoTime();
		if (!this.stalled) {
			for (Iterator<Generation> all = this.running.iterator(); all.hasNext();) {
				Generation generation = all.next();
				if (generation.isReady(now)) {
					advance(generation, all);
				}
			}
		}
		admit();
		double gapMillis = this.options.baseGapMillis() + this.options.gapPerRequestMillis() * this.running.size();
		return (long) (gapMillis * this.slowdown * NANOS_PER_MILLI);
	}

	synchronized boolean isIdle() {
		return this.running.isEmpty() && this.waiting.isEmpty();
	}

	synchronized int runningAt(long lagMillis) {
		return this.history.runningAt(this.clock.nanoTime() - (long) (lagMillis * NANOS_PER_MILLI));
	}

	private void advance(Generation generation, Iterator<Generation> position) {
		if (!generation.isComplete()) {
			generation.makeToken();
			this.counts.increment("tokens-made");
		}
		if (generation.isComplete()) {
			position.remove();
			this.counts.increment("completed");
			generation.listener().onComplete();
		}
	}

	private void admit() {
		long now = this.clock.nanoTime();
		while (this.running.size() < this.options.slots() && !this.waiting.isEmpty()) {
			Generation next = this.waiting.remove();
			int cached = this.cache.use(next.request().prompt());
			int tokens = next.request().uncachedTokens(cached) + next.firstToken();
			double prefillNanos = tokens / this.options.prefillTokensPerSecond() * this.slowdown * NANOS_PER_SECOND;
			next.admit(now + (long) prefillNanos);
			this.running.add(next);
			this.counts.increment("started");
			this.counts.add("prompt-tokens-cached", next.request().promptTokens() - (long) tokens + next.firstToken());
		}
		this.history.record(now, this.running.size());
	}

}
