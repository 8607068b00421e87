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
 * Brings the records of the store into the replica. A selected daemon waits on the head,
 * the others read it now and then; the whole catalogue is read at the start, when the
 * head does not reach back to what the replica holds, and now and then. A store that is
 * behind the replica gets the newer records back. Runs on one thread of its own;
 * thread-safe.
 */
public final class CatalogueWatcher implements Service {

	private static final Logger logger = LogManager.getLogger(CatalogueWatcher.class);

	private static final Duration WAIT = Duration.ofSeconds(3);

	private static final long HEAD_POLL_MILLIS = 30_000;

	private static final long LISTING_PERIOD_MILLIS = 600_000;

	private static final long REPAIR_PAUSE_MILLIS = 1_000;

	private static final long MAXIMUM_REPAIR_PAUSE_MILLIS = 30_000;

	private static final long FIRST_RETRY_MILLIS = 100;

	private static final long MAXIMUM_RETRY_MILLIS = 1_000;

	private static final long PEERS_MILLIS = 2_000;

	private static final long PEER_POLL_MILLIS = 20;

	private static final long SELECTION_CHECK_MILLIS = 1_000;

	private final Thread thread = new Thread(this::run, "catalogue-watcher");

	private final StoredCatalogue stored;

	private final CatalogueReplica replica;

	private final Membership membership;

	private final StoreRepair repair;

	private final MonotonicClock clock;

	private final UniformRandomProvider random;

	private final Counter reads;

	private volatile boolean closed;

	private long waitIndex;

	private long suspectedRevision;

	private long nextListingAt;

	private long nextHeadAt;

	private long nextRepairAt;

	private long peersAwaitedUntil;

	private long repairMillis = REPAIR_PAUSE_MILLIS;

	private int lastMissing;

	private int failuresInRow;

	/**
	 * Creates a watcher.
	 * @param store the store
	 * @param replica the catalogue in force on this daemon
	 * @param membership the daemons
	 * @param settings the settings of the store
	 * @param metrics where the counters are registered
	 * @param clock the clock
	 * @param random the source of jitter
	 */
	public CatalogueWatcher(ConfigurationStore store, CatalogueReplica replica, Membership membership,
			StoreSettings settings, PrometheusRegistry metrics, MonotonicClock clock, UniformRandomProvider random) {
		this.stored = new StoredCatalogue(store, settings.prefix());
		this.replica = replica;
		this.membership = membership;
		this.repair = new StoreRepair(this.stored, replica, random);
		this.clock = clock;
		this.random = random;
		this.reads = Counter.builder()
			.name("cyclamenstall_catalogue_reads_total")
			.help("Reads of the catalogue from the store by form and result")
			.labelNames("form", "result")
			.register(metrics);
		this.thread.setDaemon(true);
	}

	@Override
	public void start() {
		this.nextListingAt = this.clock.nanoTime();
		this.nextHeadAt = this.clock.nanoTime();
		this.nextRepairAt = this.clock.nanoTime();
		this.peersAwaitedUntil = this.clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PEERS_MILLIS);
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
				this.failuresInRow = 0;
			}
			catch (RouterException ex) {
				this.failuresInRow++;
				this.waitIndex = 0;
				logger.warn("Could not read the catalogue from the store: {}", ex.getMessage());
				sleep(jittered(retryMillis()));
			}
			catch (RuntimeException ex) {
				this.failuresInRow++;
				logger.error("The catalogue watcher failed", ex);
				sleep(jittered(MAXIMUM_RETRY_MILLIS));
			}
		}
	}

	private void step() {
		if (isDue(this.nextListingAt)) {
			readAll();
		}
		else if (WatcherSelection.isWatcher(this.membership.self(), this.membership.members())) {
			Versioned<CatalogueHead> head = counted("wait", () -> this.stored.waitForHead(this.waitIndex, WAIT));
			this.waitIndex = head.version();
			take(head.value());
			if (this.waitIndex == 0) {
				sleep(jittered(SELECTION_CHECK_MILLIS));
			}
		}
		else if (isDue(this.nextHeadAt)) {
			this.nextHeadAt = dueAfter(HEAD_POLL_MILLIS);
			take(counted("head", this.stored::readHead).value());
		}
		else {
			sleep(jittered(SELECTION_CHECK_MILLIS));
		}
	}

	private void take(CatalogueHead head) {
		long held = this.replica.summary().revision();
		if (head.revision() < held) {
			takeOlder(head, held);
			return;
		}
		this.suspectedRevision = 0;
		Optional<List<CatalogueRecord>> missing = head.recordsAfter(held);
		if (missing.isEmpty()) {
			readAll();
		}
		else {
			this.replica.offer(missing.get(), "store");
		}
	}

	private void takeOlder(CatalogueHead head, long held) {
		if (head.revision() < this.suspectedRevision && isDue(this.nextRepairAt)) {
			readAll();
			return;
		}
		logger.info("The store shows revision {}, revision {} is in force", head.revision(), held);
		this.suspectedRevision = held;
		this.waitIndex = 0;
		sleep(jittered(REPAIR_PAUSE_MILLIS));
	}

	private void readAll() {
		awaitPeers(Long.MAX_VALUE);
		CatalogueListing listing = counted("list", this.stored::readAll);
		awaitPeers(listing.head().value().revision());
		this.replica.offer(listing.records(), "store");
		int missing = this.repair.missing(listing).size();
		if (this.repair.run(listing)) {
			this.nextListingAt = dueAfter(LISTING_PERIOD_MILLIS);
			this.repairMillis = REPAIR_PAUSE_MILLIS;
		}
		else {
			boolean progressed = missing < this.lastMissing;
			this.repairMillis = progressed ? REPAIR_PAUSE_MILLIS
					: Math.min(MAXIMUM_REPAIR_PAUSE_MILLIS, this.repairMillis * 2);
			this.nextRepairAt = dueAfter(this.repairMillis);
			this.nextListingAt = this.nextRepairAt;
		}
		this.lastMissing = missing;
	}

	/**
	 * Waits at the start until a peer that is ahead of a revision has sent what it holds,
	 * so that a store that was put back is not taken for the truth. The wait is bounded,
	 * and there is none without peers.
	 * @param revision the revision of the store
	 */
	private void awaitPeers(long revision) {
		while (!this.closed && !this.replica.isLoaded() && !isDue(this.peersAwaitedUntil) && lacksPeers(revision)) {
			sleep(PEER_POLL_MILLIS);
		}
	}

	private boolean lacksPeers(long revision) {
		String self = this.membership.self().host();
		List<Member> others = this.membership.members()
			.stream()
			.filter((member) -> !member.host().equals(self))
			.toList();
		List<Member> heard = others.stream().filter((member) -> member.state() == MemberState.ALIVE).toList();
		if (heard.isEmpty()) {
			return !others.isEmpty();
		}
		return heard.stream().anyMatch((member) -> member.catalogueRevision() > revision);
	}

	private <T> T counted(String form, Supplier<T> read) {
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

	private boolean isDue(long time) {
		return this.clock.nanoTime() - time >= 0;
	}

	private long dueAfter(long millis) {
		return this.clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(jittered(millis));
	}

	private long retryMillis() {
		int doublings = Math.min(this.failuresInRow - 1, 10);
		return Math.min(MAXIMUM_RETRY_MILLIS, FIRST_RETRY_MILLIS << doublings);
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
