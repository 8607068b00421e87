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
 * Runs a round of exchanges at a fixed pause, and one at once after the catalogue
 * changed. Each peer has at most one exchange at a time, so that a silent peer delays no
 * other. Thread-safe.
 */
final class ExchangeRounds implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(ExchangeRounds.class);

	private static final int EXCHANGE_THREADS = 32;

	private static final long IDLE_THREAD_SECONDS = 2;

	private static final long PUSH_PAUSE_MILLIS = 20;

	private final MemberTable table;

	private final PeerCaller caller;

	private final CatalogueSync catalogue;

	private final PeerSelection roundSelection;

	private final Runnable afterRound;

	private final PeerSettings settings;

	private final ScheduledExecutorService scheduler = Executors
		.newSingleThreadScheduledExecutor(new NamedThreads("peer-rounds"));

	private final ExecutorService workers = createWorkers();

	private final Set<String> busy = ConcurrentHashMap.newKeySet();

	private final Set<String> pushAgain = ConcurrentHashMap.newKeySet();

	private final AtomicBoolean pushPlanned = new AtomicBoolean();

	ExchangeRounds(MemberTable table, PeerCaller caller, CatalogueSync catalogue, PeerSelection selection,
			PeerSettings settings, Runnable afterRound) {
		this.table = table;
		this.caller = caller;
		this.catalogue = catalogue;
		this.roundSelection = selection;
		this.settings = settings;
		this.afterRound = afterRound;
	}

	void start(UniformRandomProvider random) {
		long pause = this.settings.exchangeMillis();
		this.scheduler.execute(this::round);
		this.scheduler.scheduleWithFixedDelay(this::round, random.nextLong(pause) + 1, pause, TimeUnit.MILLISECONDS);
	}

	/**
	 * Plans a round with the peers that lack the newest catalogue.
	 */
	void pushSoon() {
		if (this.pushPlanned.compareAndSet(false, true)) {
			try {
				this.scheduler.execute(this::push);
			}
			catch (RejectedExecutionException ex) {
				logger.debug("No push of the catalogue after the end");
			}
		}
	}

	/**
	 * Exchanges with every peer that answers and waits for the end for a bounded time.
	 */
	void exchangeWithAll() {
		List<Future<?>> exchanges = new ArrayList<>();
		for (String host : this.table.answering()) {
			exchanges.add(this.workers.submit(() -> this.caller.exchange(host)));
		}
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.settings.timeoutMillis());
		exchanges.forEach((exchange) -> await(exchange, end - System.nanoTime()));
	}

	@Override
	public void close() {
		this.scheduler.shutdownNow();
		this.workers.shutdownNow();
	}

	private void round() {
		try {
			this.roundSelection.select(this.table.answering()).forEach(this::begin);
			this.table.suspectsDue().forEach(this::begin);
			this.afterRound.run();
		}
		catch (RuntimeException ex) {
			logger.error("A round of exchanges failed", ex);
		}
	}

	private void push() {
		this.pushPlanned.set(false);
		try {
			long revision = this.catalogue.revision();
			List<String> behind = this.table.answering()
				.stream()
				.filter((host) -> this.table.catalogueRevision(host) < revision)
				.toList();
			this.roundSelection.select(behind).forEach(this::pushTo);
		}
		catch (RuntimeException ex) {
			logger.error("A push of the catalogue failed", ex);
		}
	}

	private void pushTo(String host) {
		this.pushAgain.add(host);
		begin(host);
	}

	private void begin(String host) {
		if (this.busy.add(host)) {
			try {
				this.workers.execute(() -> exchange(host));
			}
			catch (RejectedExecutionException ex) {
				this.busy.remove(host);
				logger.debug("No exchange with peer {} after the end", host);
			}
		}
	}

	private void exchange(String host) {
		this.pushAgain.remove(host);
		try {
			this.caller.exchange(host);
		}
		catch (RuntimeException ex) {
			logger.error("An exchange with peer {} failed", host, ex);
		}
		finally {
			this.busy.remove(host);
			if (this.pushAgain.contains(host) && !this.scheduler.isShutdown()) {
				this.scheduler.schedule(() -> begin(host), PUSH_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
			}
		}
	}

	private static void await(Future<?> exchange, long nanos) {
		try {
			exchange.get(Math.max(1, nanos), TimeUnit.NANOSECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException | TimeoutException ex) {
			logger.debug("An exchange did not end in time", ex);
		}
	}

	private static ExecutorService createWorkers() {
		ThreadPoolExecutor executor = new ThreadPoolExecutor(EXCHANGE_THREADS, EXCHANGE_THREADS, IDLE_THREAD_SECONDS,
				TimeUnit.SECONDS, new LinkedBlockingQueue<>(), new NamedThreads("peer-exchange"));
		executor.allowCoreThreadTimeOut(true);
		return executor;
	}

}
