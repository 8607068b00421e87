package org.cyclamenstall.internal.claims;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.claims.StoredAnswer;
import org.cyclamenstall.store.StorePriority;
import org.jspecify.annotations.Nullable;

/**
 * Writes the ends of claims into the store in the background and forgets each claim once
 * its end is written. The queue is bounded by the table of claims, and the answers that
 * wait in it are bounded in bytes. Thread-safe.
 */
final class ClaimSettler implements ClaimEndListener, AutoCloseable {

	private static final Logger logger = LogManager.getLogger(ClaimSettler.class);

	private static final long WAITING_ANSWER_BYTES = 16L * 1_024 * 1_024;

	private static final long FIRST_PAUSE_MILLIS = 50;

	private static final long LONGEST_PAUSE_MILLIS = 5_000;

	private static final long CLOSE_MILLIS = 2_000;

	private static final int WORKER_THREADS = 2;

	private final ClaimStore store;

	private final ClaimTable table;

	private final ClaimMetrics metrics;

	private final String host;

	private final long incarnation;

	private final int maximumAnswerBytes;

	private final BlockingQueue<LocalClaim> ended = new LinkedBlockingQueue<>();

	private final AtomicLong waitingBytes = new AtomicLong();

	private final Thread[] workers = new Thread[WORKER_THREADS];

	private volatile boolean closing;

	ClaimSettler(ClaimStore store, ClaimTable table, ClaimMetrics metrics, String host, long incarnation,
			int maximumAnswerBytes) {
		this.store = store;
		this.table = table;
		this.metrics = metrics;
		this.host = host;
		this.incarnation = incarnation;
		this.maximumAnswerBytes = maximumAnswerBytes;
	}

	void start() {
		for (int index = 0; index < WORKER_THREADS; index++) {
			this.workers[index] = new Thread(this::work, "claim-settler-" + index);
			this.workers[index].setDaemon(true);
			this.workers[index].start();
		}
	}

	@Override
	public @Nullable StoredAnswer keepable(StoredAnswer answer) {
		int size = answer.body().length;
		if (size > this.maximumAnswerBytes) {
			this.metrics.answerNotKept("too-large");
			return null;
		}
		if (this.waitingBytes.addAndGet(size) > WAITING_ANSWER_BYTES) {
			this.waitingBytes.addAndGet(-size);
			this.metrics.answerNotKept("memory");
			return null;
		}
		return answer;
	}

	@Override
	public void ended(LocalClaim claim) {
		if (claim.isPossiblyStored()) {
			this.ended.add(claim);
		}
		else {
			this.table.remove(claim);
		}
	}

	/**
	 * Tries once to write the end of every claim that waits.
	 * @return the number of claims that still wait
	 */
	int settleAll() {
		for (int count = this.ended.size(); count > 0; count--) {
			LocalClaim claim = this.ended.poll();
			if (claim != null && settle(claim, StorePriority.BACKGROUND) == SettleResult.RETRY) {
				this.ended.add(claim);
			}
		}
		return this.ended.size();
	}

	@Override
	public void close() {
		this.closing = true;
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_MILLIS);
		for (Thread worker : this.workers) {
			if (worker != null) {
				stop(worker, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime()));
			}
		}
		if (!this.ended.isEmpty()) {
			logger.warn("{} ended claims are not written to the store; their outcome stays unknown", this.ended.size());
		}
	}

	private void work() {
		long pauseMillis = 0;
		while (!Thread.currentThread().isInterrupted() && !(this.closing && this.ended.isEmpty())) {
			try {
				LocalClaim claim = this.ended.poll(FIRST_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
				if (claim != null) {
					pauseMillis = settleOrPause(claim, pauseMillis);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			catch (RuntimeException ex) {
				logger.error("The end of a claim could not be written", ex);
			}
		}
	}

	private long settleOrPause(LocalClaim claim, long pauseMillis) throws InterruptedException {
		StorePriority priority = (pauseMillis == 0) ? StorePriority.CLAIM : StorePriority.BACKGROUND;
		if (settle(claim, priority) != SettleResult.RETRY) {
			return 0;
		}
		this.ended.add(claim);
		long next = Math.min(LONGEST_PAUSE_MILLIS, Math.max(FIRST_PAUSE_MILLIS, 2 * pauseMillis));
		TimeUnit.MILLISECONDS.sleep(this.closing ? FIRST_PAUSE_MILLIS : next);
		return next;
	}

	private SettleResult settle(LocalClaim claim, StorePriority priority) {
		SettleResult result = new SettleClaimCommand(this.store, this.host, this.incarnation).setClaim(claim)
			.setPriority(priority)
			.call();
		this.metrics.settled(result);
		if (result != SettleResult.RETRY) {
			this.table.remove(claim);
			StoredAnswer answer = claim.answer();
			this.waitingBytes.addAndGet((answer != null) ? -answer.body().length : 0);
		}
		return result;
	}

	private static void stop(Thread worker, long millis) {
		try {
			worker.join(Math.max(1, millis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		worker.interrupt();
	}

}
