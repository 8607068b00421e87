package org.cyclamenstall.internal.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.cyclamenstall.kernel.MonotonicClock;
import org.xnio.XnioIoThread;

/**
 * Divides the I/O threads between the connections that send without a pause and all
 * others. A reader processes at most one turn for each read event; if more bytes wait, it
 * awaits its next turn here ({@link TurnLimitedSource}). Readers that wait take turns one
 * at a time, and after each turn the thread serves its other connections for as long as
 * the turn took.
 * <p>
 * Invariant: at most half of the time of a thread is spent in turns that were awaited,
 * whatever the connections send. Thread-safe, provided that each call is made on the I/O
 * thread that is passed to it.
 */
public final class ReadTurns {

	/** Maximum number of bytes that a reader processes in one turn. */
	static final int MAXIMUM_TURN_BYTES = 65_536;

	/** Time after which a turn ends, even if fewer bytes were processed. */
	private static final Duration MAXIMUM_TURN_TIME = Duration.ofMillis(5);

	private static final Duration MINIMUM_PAUSE = Duration.ofMillis(1);

	private final Map<XnioIoThread, WaitingReaders> waitingByThread = new ConcurrentHashMap<>();

	private final MonotonicClock clock;

	/**
	 * Creates turns without waiting readers.
	 * @param clock the clock that measures the turns
	 */
	public ReadTurns(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Returns the time at which a turn starts.
	 * @return the time in nanoseconds on the monotonic clock
	 */
	long now() {
		return this.clock.nanoTime();
	}

	/**
	 * Returns whether a turn has lasted for its maximum time.
	 * @param startedAtNanos when it started
	 * @return {@code true} if the reader must await its next turn
	 */
	boolean isOver(long startedAtNanos) {
		return this.clock.nanoTime() - startedAtNanos >= MAXIMUM_TURN_TIME.toNanos();
	}

	/**
	 * Runs a task at the next free turn. The reader must not be notified of readable
	 * bytes meanwhile.
	 * @param thread the current I/O thread
	 * @param turn processes the next bytes, within the limits of a turn
	 */
	void await(XnioIoThread thread, Runnable turn) {
		this.waitingByThread.computeIfAbsent(thread, WaitingReaders::new).add(turn);
	}

	/**
	 * Readers that wait on one I/O thread. Used on that thread.
	 */
	private final class WaitingReaders {

		private final Deque<Runnable> turns = new ArrayDeque<>();

		private final XnioIoThread thread;

		private boolean scheduled;

		WaitingReaders(XnioIoThread thread) {
			this.thread = thread;
		}

		void add(Runnable turn) {
			this.turns.add(turn);
			schedule(MINIMUM_PAUSE.toNanos());
		}

		private void schedule(long pauseNanos) {
			if (!this.scheduled) {
				this.scheduled = true;
				this.thread.executeAfter(this::runNext, Math.max(MINIMUM_PAUSE.toNanos(), pauseNanos),
						TimeUnit.NANOSECONDS);
			}
		}

		private void runNext() {
			Runnable turn = this.turns.poll();
			long startedAtNanos = ReadTurns.this.clock.nanoTime();
			try {
				if (turn != null) {
					turn.run();
				}
			}
			finally {
				this.scheduled = false;
				if (!this.turns.isEmpty()) {
					schedule(ReadTurns.this.clock.nanoTime() - startedAtNanos);
				}
			}
		}

	}

}
