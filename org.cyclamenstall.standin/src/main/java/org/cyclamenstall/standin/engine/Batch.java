package org.cyclamenstall.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;

import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.standin.http.CallCounts;

/**
 * Simulates continuous batching: queued generations are admitted to free slots in order
 * of priority, and every step generates one token for each running generation. The
 * duration of a step grows with the number of running generations. Thread-safe.
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

	private final PriorityQueue<Generation> queue = new PriorityQueue<>(
			Comparator.comparingInt(Generation::priority).thenComparingLong(Generation::sequence));

	private double slowdown = 1;

	private boolean stalled;

	private long nextSequence;

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
	 * Adds a generation to a free slot or to the queue.
	 * @param generation the generation
	 * @return {@code false} if all slots are taken and the queue is full
	 */
	synchronized boolean submit(Generation generation) {
		if (this.running.size() >= this.options.slots() && this.queue.size() >= this.options.queueLength()) {
			return false;
		}
		generation.setSequence(this.nextSequence++);
		this.queue.add(generation);
		admitQueued();
		return true;
	}

	/**
	 * Removes a generation that has not completed.
	 * @param generation the generation
	 * @return {@code false} if it was neither running nor queued
	 */
	synchronized boolean cancel(Generation generation) {
		boolean wasRunning = this.running.remove(generation);
		if (!wasRunning && !this.queue.remove(generation)) {
			return false;
		}
		this.counts.increment("cancelled");
		this.counts.add("tokens-wasted", generation.generatedTokens());
		admitQueued();
		return true;
	}

	/**
	 * Generates one token for each running generation whose prefill has finished, unless
	 * the engine is stalled. Then admits queued generations to free slots.
	 * @return the time until the next step, in nanoseconds
	 */
	synchronized long step() {
		long now = this.clock.nanoTime();
		if (!this.stalled) {
			for (Iterator<Generation> iterator = this.running.iterator(); iterator.hasNext();) {
				Generation generation = iterator.next();
				if (generation.hasFinishedPrefill(now)) {
					advance(generation, iterator);
				}
			}
		}
		admitQueued();
		double stepMillis = this.options.baseGapMillis() + this.options.gapPerRequestMillis() * this.running.size();
		return (long) (stepMillis * this.slowdown * NANOS_PER_MILLI);
	}

	synchronized boolean isIdle() {
		return this.running.isEmpty() && this.queue.isEmpty();
	}

	synchronized int runningCountMillisAgo(long millis) {
		return this.history.runningAt(this.clock.nanoTime() - (long) (millis * NANOS_PER_MILLI));
	}

	private void advance(Generation generation, Iterator<Generation> iterator) {
		if (!generation.isComplete()) {
			generation.generateToken();
			this.counts.increment("tokens-made");
		}
		if (generation.isComplete()) {
			iterator.remove();
			this.counts.increment("completed");
			generation.listener().onComplete();
		}
	}

	private void admitQueued() {
		long now = this.clock.nanoTime();
		while (this.running.size() < this.options.slots() && !this.queue.isEmpty()) {
			Generation next = this.queue.remove();
			int cachedCharacters = this.cache.lookUpAndStore(next.request().prompt());
			int prefillTokens = next.request().uncachedTokens(cachedCharacters) + next.resumedTokens();
			double prefillNanos = prefillTokens / this.options.prefillTokensPerSecond() * this.slowdown
					* NANOS_PER_SECOND;
			next.admit(now + (long) prefillNanos);
			this.running.add(next);
			this.counts.increment("started");
			this.counts.add("prompt-tokens-cached",
					next.request().promptTokens() - (long) prefillTokens + next.resumedTokens());
		}
		this.history.record(now, this.running.size());
	}

}
