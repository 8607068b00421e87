package org.cyclamenstall.internal.catalogue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.catalogue.CatalogueReplica;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.kernel.Service;
import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.peers.Membership;
import org.cyclamenstall.settings.StoreSettings;
import org.cyclamenstall.store.ConfigurationStore;

/**
 * Updates the catalogue replica from the store. Selected daemons watch the
 * {@link CatalogueHead head} with blocking queries, the others poll it. The whole
 * catalogue is read at startup, when the head no longer contains all records that the
 * replica lacks, and periodically. If the store is behind the replica, the newer records
 * are written back to it. Runs on its own thread; thread-safe.
 */
public final class CatalogueWatcher implements Service {

	private static final Logger logger = LogManager.getLogger(CatalogueWatcher.class);

	private static final Duration BLOCKING_QUERY_WAIT = Duration.ofSeconds(3);

	private static final long HEAD_POLL_INTERVAL_MILLIS = 30_000;

	private static final long FULL_READ_INTERVAL_MILLIS = 600_000;

	private static final long REPAIR_DELAY_MILLIS = 1_000;

	private static final long MAXIMUM_REPAIR_DELAY_MILLIS = 30_000;

	private static final long INITIAL_RETRY_DELAY_MILLIS = 100;

	private static final long MAXIMUM_RETRY_DELAY_MILLIS = 1_000;

	private static final long PEER_WAIT_MILLIS = 2_000;

	private static final long PEER_POLL_INTERVAL_MILLIS = 20;

	private static final long SELECTION_CHECK_INTERVAL_MILLIS = 1_000;

	private final Thread thread = new Thread(this::run, "catalogue-watcher");

	private final CatalogueStore catalogueStore;

	private final CatalogueReplica replica;

	private final Membership membership;

	private final StoreRepair repair;

	private final MonotonicClock clock;

	private final UniformRandomProvider random;

	private final Counter reads;

	private volatile boolean closed;

	private long watchIndex;

	private long replicaRevisionAtStaleRead;

	private long nextFullReadAtNanos;

	private long nextHeadPollAtNanos;

	private long nextRepairAtNanos;

	private long peerWaitDeadlineNanos;

	private long repairDelayMillis = REPAIR_DELAY_MILLIS;

	private int lastMissingCount;

	private int consecutiveFailures;

	/**
	 * Creates a watcher.
	 * @param store the store
	 * @param replica the replica of this daemon
	 * @param membership the daemons of the deployment
	 * @param settings the settings of the store
	 * @param metrics the metrics registry
	 * @param clock the monotonic clock
	 * @param random the source of jitter
	 */
	public CatalogueWatcher(ConfigurationStore store, CatalogueReplica replica, Membership membership,
			StoreSettings settings, PrometheusRegistry metrics, MonotonicClock clock, UniformRandomProvider random) {
		this.catalogueStore = new CatalogueStore(store, settings.prefix());
		this.replica = replica;
		this.membership = membership;
		this.repair = new StoreRepair(this.catalogueStore, replica, random);
		this.clock = clock;
		this.random = random;
		this.reads = Counter.builder()
			.name("cyclamenstall_catalogue_reads_total")
			.help("Reads of the catalogue from the store, by form and result")
			.labelNames("form", "result")
			.register(metrics);
		this.thread.setDaemon(true);
	}

	@Override
	public void start() {
		this.nextFullReadAtNanos = this.clock.nanoTime();
		this.nextHeadPollAtNanos = this.clock.nanoTime();
		this.nextRepairAtNanos = this.clock.nanoTime();
		this.peerWaitDeadlineNanos = this.clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PEER_WAIT_MILLIS);
		this.thread.start();
	}

	@Override
	public void close() {
		this.closed = true;
		this.thread.interrupt();
	}

	private void run() {
		while (!this.closed) {
			try {
				step();
				this.consecutiveFailures = 0;
			}
			catch (RouterException ex) {
				this.consecutiveFailures++;
				this.watchIndex = 0;
				logger.warn("Failed to read the catalogue from the store: {}", ex.getMessage());
				sleep(jittered(retryDelayMillis()));
			}
			catch (RuntimeException ex) {
				this.consecutiveFailures++;
				logger.error("Unexpected failure in the catalogue watcher", ex);
				sleep(jittered(MAXIMUM_RETRY_DELAY_MILLIS));
			}
		}
	}

	private void step() {
		if (isDue(this.nextFullReadAtNanos)) {
			readAllAndRepair();
		}
		else if (WatcherSelection.isWatcher(this.membership.self(), this.membership.members())) {
			Versioned<CatalogueHead> head = readAndCount("wait",
					() -> this.catalogueStore.waitForHead(this.watchIndex, BLOCKING_QUERY_WAIT));
			this.watchIndex = head.version();
			applyHead(head.value());
			if (this.watchIndex == 0) {
				// The next query returns at once; the delay prevents a busy loop.
				sleep(jittered(SELECTION_CHECK_INTERVAL_MILLIS));
			}
		}
		else if (isDue(this.nextHeadPollAtNanos)) {
			this.nextHeadPollAtNanos = jitteredNanoTimeAfter(HEAD_POLL_INTERVAL_MILLIS);
			applyHead(readAndCount("head", this.catalogueStore::readHead).value());
		}
		else {
			sleep(jittered(SELECTION_CHECK_INTERVAL_MILLIS));
		}
	}

	private void applyHead(CatalogueHead head) {
		long replicaRevision = this.replica.summary().revision();
		if (head.revision() < replicaRevision) {
			handleStaleHead(head, replicaRevision);
			return;
		}
		this.replicaRevisionAtStaleRead = 0;
		Optional<List<CatalogueRecord>> missing = head.recordsAfter(replicaRevision);
		if (missing.isEmpty()) {
			readAllAndRepair();
		}
		else {
			this.replica.offer(missing.get(), "store");
		}
	}

	/**
	 * Handles a head that is behind the replica. A single read may return an outdated
	 * head, so the store is repaired only if a later read is still behind the revision
	 * that was active at an earlier stale read.
	 * @param head the stale head
	 * @param replicaRevision the revision of the replica
	 */
	private void handleStaleHead(CatalogueHead head, long replicaRevision) {
		if (head.revision() < this.replicaRevisionAtStaleRead && isDue(this.nextRepairAtNanos)) {
			readAllAndRepair();
			return;
		}
		logger.info("The store returned catalogue revision {}, but revision {} is active", head.revision(),
				replicaRevision);
		this.replicaRevisionAtStaleRead = replicaRevision;
		this.watchIndex = 0;
		sleep(jittered(REPAIR_DELAY_MILLIS));
	}

	private void readAllAndRepair() {
		awaitPeers(Long.MAX_VALUE);
		CatalogueListing listing = readAndCount("list", this.catalogueStore::readAll);
		awaitPeers(listing.head().value().revision());
		this.replica.offer(listing.records(), "store");
		int missingCount = this.repair.missingRecords(listing).size();
		if (this.repair.writeBack(listing)) {
			this.nextFullReadAtNanos = jitteredNanoTimeAfter(FULL_READ_INTERVAL_MILLIS);
			this.repairDelayMillis = REPAIR_DELAY_MILLIS;
		}
		else {
			boolean madeProgress = missingCount < this.lastMissingCount;
			this.repairDelayMillis = madeProgress ? REPAIR_DELAY_MILLIS
					: Math.min(MAXIMUM_REPAIR_DELAY_MILLIS, this.repairDelayMillis * 2);
			this.nextRepairAtNanos = jitteredNanoTimeAfter(this.repairDelayMillis);
			this.nextFullReadAtNanos = this.nextRepairAtNanos;
		}
		this.lastMissingCount = missingCount;
	}

	/**
	 * Waits at startup until the replica is loaded from a peer, as long as no known peer
	 * is alive yet or a live peer has a higher revision than the store, so that a store
	 * restored to an older state is not accepted as current. The wait ends
	 * {@link #PEER_WAIT_MILLIS} after the start and is skipped if there are no peers.
	 * @param revision the revision of the store; {@link Long#MAX_VALUE} before the first
	 * read, to wait only until a peer is alive
	 */
	private void awaitPeers(long revision) {
		while (!this.closed && !this.replica.isLoaded() && !isDue(this.peerWaitDeadlineNanos)
				&& mustAwaitPeers(revision)) {
			sleep(PEER_POLL_INTERVAL_MILLIS);
		}
	}

	private boolean mustAwaitPeers(long revision) {
		String self = this.membership.self().host();
		List<Member> peers = this.membership.members()
			.stream()
			.filter((member) -> !member.host().equals(self))
			.toList();
		List<Member> alivePeers = peers.stream().filter((member) -> member.state() == MemberState.ALIVE).toList();
		if (alivePeers.isEmpty()) {
			return !peers.isEmpty();
		}
		return alivePeers.stream().anyMatch((member) -> member.catalogueRevision() > revision);
	}

	private <T> T readAndCount(String form, Supplier<T> read) {
		try {
			T result = read.get();
			this.reads.labelValues(form, "answered").inc();
			return result;
		}
		catch (RouterException ex) {
			this.reads.labelValues(form, ex.kind().code()).inc();
			throw ex;
		}
	}

	private boolean isDue(long atNanos) {
		return this.clock.nanoTime() - atNanos >= 0;
	}

	private long jitteredNanoTimeAfter(long millis) {
		return this.clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(jittered(millis));
	}

	private long retryDelayMillis() {
		int doublings = Math.min(this.consecutiveFailures - 1, 10);
		return Math.min(MAXIMUM_RETRY_DELAY_MILLIS, INITIAL_RETRY_DELAY_MILLIS << doublings);
	}

	private long jittered(long millis) {
		return millis / 2 + this.random.nextLong(millis);
	}

	private static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
