package org.cyclamenstall.standin.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;

import org.cyclamenstall.hosts.ListedHost;

/**
 * Models an engine that batches continuously: the pause between tokens and the time of
 * the prompt grow with the batch and with a slowdown. Work beyond the slots waits in the
 * engine, higher priorities first. Its load report lags. Not thread-safe.
 */
final class EngineModel {

	static final int TOKENS_PER_CHUNK = 5;

	private static final long GAP_NANOS = 20_000_000L;

	private static final long PROMPT_NANOS = 100_000_000L;

	private static final double BATCH_COST = 0.08;

	private static final int SNAPSHOTS = 100;

	private static final long SNAPSHOT_NANOS = 100_000_000L;

	private final VirtualTime time;

	private final ListedHost host;

	private final int slots;

	private final Set<EngineStream> running = new LinkedHashSet<>();

	private final Deque<EngineStream> waiting = new ArrayDeque<>();

	private final Deque<Integer> snapshots = new ArrayDeque<>();

	private long reportLagNanos = SNAPSHOT_NANOS;

	private double slowdown = 1;

	private long generated;

	EngineModel(VirtualTime time, ListedHost host, int slots) {
		this.time = time;
		this.host = host;
		this.slots = slots;
		snapshot();
	}

	private void snapshot() {
		this.snapshots.addFirst(this.running.size() + this.waiting.size());
		if (this.snapshots.size() > SNAPSHOTS) {
			this.snapshots.removeLast();
		}
		this.time.after(SNAPSHOT_NANOS, this::snapshot);
	}

	ListedHost host() {
		return this.host;
	}

	int slots() {
		return this.slots;
	}

	long generated() {
		return this.generated;
	}

	void slowDown(double factor, long lagNanos) {
		this.slowdown = factor;
		this.reportLagNanos = lagNanos;
	}

	long reportAgeMillis() {
		return this.reportLagNanos / 1_000_000;
	}

	int reportedRunning() {
		int index = (int) (this.reportLagNanos / SNAPSHOT_NANOS);
		int position = 0;
		for (int count : this.snapshots) {
			if (position >= index) {
				return count;
			}
			position++;
		}
		return 0;
	}

	void accept(EngineStream stream) {
		if (this.running.size() < this.slots) {
			start(stream);
		}
		else {
			this.waiting.addLast(stream);
		}
	}

	private void start(EngineStream stream) {
		this.running.add(stream);
		this.time.after((long) (PROMPT_NANOS * factor()), () -> generate(stream));
	}

	private double factor() {
		return this.slowdown * (1 + BATCH_COST * (this.running.size() - 1));
	}

	private void generate(EngineStream stream) {
		if (!this.running.contains(stream)) {
			return;
		}
		int count = Math.min(TOKENS_PER_CHUNK, stream.remaining());
		this.generated += count;
		stream.produced(count);
		if (stream.remaining() == 0) {
			cancel(stream);
			stream.completed();
		}
		else {
			this.time.after((long) (GAP_NANOS * TOKENS_PER_CHUNK * factor()), () -> generate(stream));
		}
	}

	void cancel(EngineStream stream) {
		this.waiting.remove(stream);
		if (this.running.remove(stream) && !this.waiting.isEmpty()) {
			start(next());
		}
	}

	private EngineStream next() {
		EngineStream best = this.waiting.getFirst();
		for (EngineStream stream : this.waiting) {
			best = (stream.priority() < best.priority()) ? stream : best;
		}
		this.waiting.remove(best);
		return best;
	}

}
