package org.cyclamenstall.internal.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.settings.PeerSettings;

/**
 * Schedules the exchanges that this daemon starts with its peers: rounds with a fixed
 * delay between them, and pushes, which send a changed catalogue without waiting for the
 * next round. Rounds and pushes run at most one exchange per peer at a time, so that an
 * unresponsive peer does not delay the others. Thread-safe.
 */
final class ExchangeScheduler implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(ExchangeScheduler.class);

	private static final int EXCHANGE_THREADS = 32;

	private static final long THREAD_KEEP_ALIVE_SECONDS = 2;

	/**
	 * Delay of a push that was requested while an exchange with the peer was in progress.
	 */
	private static final long DEFERRED_PUSH_DELAY_MILLIS = 20;

	private final MemberTable memberTable;

	private final PeerClient client;

	private final CatalogueSync catalogueSync;

	private final PeerSelection selection;

	private final Runnable onRoundCompleted;

	private final PeerSettings settings;

	private final ScheduledExecutorService scheduler = Executors
		.newSingleThreadScheduledExecutor(new NamedThreadFactory("peer-rounds"));

	private final ExecutorService workers = createWorkers();

	private final Set<String> exchangesInProgress = ConcurrentHashMap.newKeySet();

	private final Set<String> pendingPushes = ConcurrentHashMap.newKeySet();

	private final AtomicBoolean pushScheduled = new AtomicBoolean();

	ExchangeScheduler(MemberTable memberTable, PeerClient client, CatalogueSync catalogueSync, PeerSelection selection,
			PeerSettings settings, Runnable onRoundCompleted) {
		this.memberTable = memberTable;
		this.client = client;
		this.catalogueSync = catalogueSync;
		this.selection = selection;
		this.settings = settings;
		this.onRoundCompleted = onRoundCompleted;
	}

	void start(UniformRandomProvider random) {
		long delayMillis = this.settings.exchangeMillis();
		this.scheduler.execute(this::runRound);
		this.scheduler.scheduleWithFixedDelay(this::runRound, random.nextLong(delayMillis) + 1, delayMillis,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Schedules exchanges with selected peers that lack the catalogue revision of this
	 * daemon. Does nothing if a push is already scheduled or the scheduler was closed.
	 */
	void schedulePush() {
		if (this.pushScheduled.compareAndSet(false, true)) {
			try {
				this.scheduler.execute(this::push);
			}
			catch (RejectedExecutionException ex) {
				logger.debug("Skipped a catalogue push during shutdown");
			}
		}
	}

	/**
	 * Starts an exchange with every reachable peer and waits until all have ended, for at
	 * most the timeout of one exchange.
	 */
	void exchangeWithAll() {
		List<Future<?>> exchanges = new ArrayList<>();
		for (String host : this.memberTable.reachableHosts()) {
			exchanges.add(this.workers.submit(() -> this.client.exchange(host)));
		}
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.settings.timeoutMillis());
		exchanges.forEach((exchange) -> awaitExchange(exchange, deadlineNanos - System.nanoTime()));
	}

	@Override
	public void close() {
		this.scheduler.shutdownNow();
		this.workers.shutdownNow();
	}

	private void runRound() {
		try {
			this.selection.select(this.memberTable.reachableHosts()).forEach(this::startExchange);
			this.memberTable.hostsToRetry().forEach(this::startExchange);
			this.onRoundCompleted.run();
		}
		catch (RuntimeException ex) {
			logger.error("Exchange round failed", ex);
		}
	}

	private void push() {
		this.pushScheduled.set(false);
		try {
			long revision = this.catalogueSync.revision();
			List<String> outdatedPeers = this.memberTable.reachableHosts()
				.stream()
				.filter((host) -> this.memberTable.catalogueRevision(host) < revision)
				.toList();
			this.selection.select(outdatedPeers).forEach(this::pushToPeer);
		}
		catch (RuntimeException ex) {
			logger.error("Catalogue push failed", ex);
		}
	}

	private void pushToPeer(String host) {
		this.pendingPushes.add(host);
		startExchange(host);
	}

	private void startExchange(String host) {
		if (this.exchangesInProgress.add(host)) {
			try {
				this.workers.execute(() -> exchange(host));
			}
			catch (RejectedExecutionException ex) {
				this.exchangesInProgress.remove(host);
				logger.debug("Skipped an exchange with peer {} during shutdown", host);
			}
		}
	}

	private void exchange(String host) {
		this.pendingPushes.remove(host);
		try {
			this.client.exchange(host);
		}
		catch (RuntimeException ex) {
			logger.error("Exchange with peer {} failed", host, ex);
		}
		finally {
			this.exchangesInProgress.remove(host);
			if (this.pendingPushes.contains(host) && !this.scheduler.isShutdown()) {
				this.scheduler.schedule(() -> startExchange(host), DEFERRED_PUSH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			}
		}
	}

	private static void awaitExchange(Future<?> exchange, long timeoutNanos) {
		try {
			exchange.get(Math.max(1, timeoutNanos), TimeUnit.NANOSECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException | TimeoutException ex) {
			logger.debug("Exchange failed or timed out", ex);
		}
	}

	private static ExecutorService createWorkers() {
		ThreadPoolExecutor executor = new ThreadPoolExecutor(EXCHANGE_THREADS, EXCHANGE_THREADS,
				THREAD_KEEP_ALIVE_SECONDS, TimeUnit.SECONDS, new LinkedBlockingQueue<>(),
				new NamedThreadFactory("peer-exchange"));
		executor.allowCoreThreadTimeOut(true);
		return executor;
	}

}
