package org.cyclamenstall.standin.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;

import org.cyclamenstall.hosts.ListedHost;

/**
 * Simulates an engine with continuous batching. The prefill time and the gap between
 * tokens grow with the batch size and with an injected slowdown. Requests beyond the
 * slots wait in the engine and start in priority order. The reported load includes the
 * waiting requests and lags behind the actual load. Not thread-safe.
 */
final class EngineModel {

	static final int TOKENS_PER_CHUNK = 5;

	private static final long TOKEN_GAP_NANOS = 20_000_000L;

	private static final long PREFILL_NANOS = 100_000_000L;

	private static final double LATENCY_GROWTH_PER_REQUEST = 0.08;

	private static final int MAXIMUM_SNAPSHOTS = 100;

	private static final long SNAPSHOT_INTERVAL_NANOS = 100_000_000L;

	private final VirtualClock clock;

	private final ListedHost host;

	private final int slots;

	private final Set<EngineStream> running = new LinkedHashSet<>();

	private final Deque<EngineStream> waiting = new ArrayDeque<>();

	private final Deque<Integer> loadSnapshots = new ArrayDeque<>();

	private long reportLagNanos = SNAPSHOT_INTERVAL_NANOS;

	private double slowdown = 1;

	private long generatedTokens;

	EngineModel(VirtualClock clock, ListedHost host, int slots) {
		this.clock = clock;
		this.host = host;
		this.slots = slots;
		recordSnapshot();
	}

	private void recordSnapshot() {
		this.loadSnapshots.addFirst(this.running.size() + this.waiting.size());
		if (this.loadSnapshots.size() > MAXIMUM_SNAPSHOTS) {
			this.loadSnapshots.removeLast();
		}
		this.clock.schedule(SNAPSHOT_INTERVAL_NANOS, this::recordSnapshot);
	}

	ListedHost host() {
		return this.host;
	}

	int slots() {
		return this.slots;
	}

	long generatedTokens() {
		return this.generatedTokens;
	}

	void degrade(double newSlowdown, long newReportLagNanos) {
		this.slowdown = newSlowdown;
		this.reportLagNanos = newReportLagNanos;
	}

	long reportAgeMillis() {
		return this.reportLagNanos / 1_000_000;
	}

	int reportedLoad() {
		int lagIndex = (int) (this.reportLagNanos / SNAPSHOT_INTERVAL_NANOS);
		int index = 0;
		for (int count : this.loadSnapshots) {
			if (index >= lagIndex) {
				return count;
			}
			index++;
		}
		return 0;
	}

	void submit(EngineStream stream) {
		if (this.running.size() < this.slots) {
			start(stream);
		}
		else {
			this.waiting.addLast(stream);
		}
	}

	private void start(EngineStream stream) {
		this.running.add(stream);
		this.clock.schedule((long) (PREFILL_NANOS * latencyFactor()), () -> generate(stream));
	}

	private double latencyFactor() {
		return this.slowdown * (1 + LATENCY_GROWTH_PER_REQUEST * (this.running.size() - 1));
	}

	private void generate(EngineStream stream) {
		if (!this.running.contains(stream)) {
			return;
		}
		int count = Math.min(TOKENS_PER_CHUNK, stream.remainingTokens());
		this.generatedTokens += count;
		stream.onTokens(count);
		if (stream.remainingTokens() == 0) {
			end(stream);
			stream.onCompleted();
		}
		else {
			this.clock.schedule((long) (TOKEN_GAP_NANOS * TOKENS_PER_CHUNK * latencyFactor()), () -> generate(stream));
		}
	}

	// Removes a completed or cancelled attempt. If it was running, starts the waiting
	// attempt with the highest priority.
	void end(EngineStream stream) {
		this.waiting.remove(stream);
		if (this.running.remove(stream) && !this.waiting.isEmpty()) {
			start(pollNextWaiting());
		}
	}

	private EngineStream pollNextWaiting() {
		EngineStream highest = this.waiting.getFirst();
		for (EngineStream stream : this.waiting) {
			highest = (stream.priority() < highest.priority()) ? stream : highest;
		}
		this.waiting.remove(highest);
		return highest;
	}

}
