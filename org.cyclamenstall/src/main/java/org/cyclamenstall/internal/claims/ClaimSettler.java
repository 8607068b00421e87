package org.cyclamenstall.internal.claims;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.claims.StoredResponse;
import org.cyclamenstall.store.StorePriority;
import org.jspecify.annotations.Nullable;

/**
 * Settles ended claims: writes their outcomes to the store in the background and removes
 * each claim from the table once its outcome is stored. The number of queued claims is
 * limited by the capacity of the table, and the queued responses are limited by their
 * total size. Thread-safe.
 */
final class ClaimSettler implements ClaimEndListener, AutoCloseable {

	private static final Logger logger = LogManager.getLogger(ClaimSettler.class);

	private static final long MAXIMUM_QUEUED_RESPONSE_BYTES = 16L * 1_024 * 1_024;

	private static final long INITIAL_BACKOFF_MILLIS = 50;

	private static final long MAXIMUM_BACKOFF_MILLIS = 5_000;

	private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

	private static final int WORKER_THREADS = 2;

	private final ClaimStore store;

	private final ClaimTable table;

	private final ClaimMetrics metrics;

	private final String host;

	private final long incarnation;

	private final int maximumResponseBytes;

	private final BlockingQueue<LocalClaim> endedClaims = new LinkedBlockingQueue<>();

	private final AtomicLong queuedResponseBytes = new AtomicLong();

	private final Thread[] workers = new Thread[WORKER_THREADS];

	private volatile boolean closing;

	ClaimSettler(ClaimStore store, ClaimTable table, ClaimMetrics metrics, String host, long incarnation,
			int maximumResponseBytes) {
		this.store = store;
		this.table = table;
		this.metrics = metrics;
		this.host = host;
		this.incarnation = incarnation;
		this.maximumResponseBytes = maximumResponseBytes;
	}

	void start() {
		for (int index = 0; index < WORKER_THREADS; index++) {
			this.workers[index] = new Thread(this::settleQueuedClaims, "claim-settler-" + index);
			this.workers[index].setDaemon(true);
			this.workers[index].start();
		}
	}

	@Override
	public @Nullable StoredResponse retainResponse(StoredResponse response) {
		int size = response.body().length;
		if (size > this.maximumResponseBytes) {
			this.metrics.recordDiscardedResponse("too-large");
			return null;
		}
		if (this.queuedResponseBytes.addAndGet(size) > MAXIMUM_QUEUED_RESPONSE_BYTES) {
			this.queuedResponseBytes.addAndGet(-size);
			this.metrics.recordDiscardedResponse("memory");
			return null;
		}
		return response;
	}

	@Override
	public void onClaimEnded(LocalClaim claim) {
		if (claim.isPossiblyStored()) {
			this.endedClaims.add(claim);
		}
		else {
			this.table.remove(claim);
		}
	}

	/**
	 * Tries once to write the outcome of every queued claim.
	 * @return the number of claims that are still queued
	 */
	int settleAll() {
		for (int count = this.endedClaims.size(); count > 0; count--) {
			LocalClaim claim = this.endedClaims.poll();
			if (claim != null && settle(claim, StorePriority.BACKGROUND) == SettleResult.RETRY) {
				this.endedClaims.add(claim);
			}
		}
		return this.endedClaims.size();
	}

	@Override
	public void close() {
		this.closing = true;
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MILLIS);
		for (Thread worker : this.workers) {
			if (worker != null) {
				awaitWorker(worker, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
			}
		}
		if (!this.endedClaims.isEmpty()) {
			logger.warn("The outcomes of {} ended claims were not written to the store and remain unknown",
					this.endedClaims.size());
		}
	}

	private void settleQueuedClaims() {
		long backoffMillis = 0;
		while (!Thread.currentThread().isInterrupted() && !(this.closing && this.endedClaims.isEmpty())) {
			try {
				LocalClaim claim = this.endedClaims.poll(INITIAL_BACKOFF_MILLIS, TimeUnit.MILLISECONDS);
				if (claim != null) {
					backoffMillis = settleOrBackOff(claim, backoffMillis);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			catch (RuntimeException ex) {
				logger.error("Unexpected failure while writing the outcome of a claim", ex);
			}
		}
	}

	// Returns the backoff after this claim in milliseconds: zero if it was settled,
	// otherwise the claim is queued again and the thread has already waited.
	private long settleOrBackOff(LocalClaim claim, long backoffMillis) throws InterruptedException {
		StorePriority priority = (backoffMillis == 0) ? StorePriority.CLAIM : StorePriority.BACKGROUND;
		if (settle(claim, priority) != SettleResult.RETRY) {
			return 0;
		}
		this.endedClaims.add(claim);
		long nextBackoffMillis = Math.min(MAXIMUM_BACKOFF_MILLIS, Math.max(INITIAL_BACKOFF_MILLIS, 2 * backoffMillis));
		TimeUnit.MILLISECONDS.sleep(this.closing ? INITIAL_BACKOFF_MILLIS : nextBackoffMillis);
		return nextBackoffMillis;
	}

	private SettleResult settle(LocalClaim claim, StorePriority priority) {
		SettleResult result = new SettleClaimCommand(this.store, this.host, this.incarnation).setClaim(claim)
			.setPriority(priority)
			.call();
		this.metrics.recordSettlement(result);
		if (result != SettleResult.RETRY) {
			this.table.remove(claim);
			StoredResponse response = claim.response();
			this.queuedResponseBytes.addAndGet((response != null) ? -response.body().length : 0);
		}
		return result;
	}

	private static void awaitWorker(Thread worker, long timeoutMillis) {
		try {
			worker.join(Math.max(1, timeoutMillis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		worker.interrupt();
	}

}
