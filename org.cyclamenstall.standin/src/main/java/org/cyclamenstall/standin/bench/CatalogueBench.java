package org.cyclamenstall.standin.bench;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.internal.catalogue.CatalogueEditCommand;
import org.cyclamenstall.internal.catalogue.CatalogueEditOutcome;
import org.cyclamenstall.internal.catalogue.CatalogueEditStatus;
import org.cyclamenstall.internal.catalogue.CatalogueStore;
import org.cyclamenstall.internal.catalogue.CatalogueWatcher;
import org.cyclamenstall.internal.catalogue.LocalCatalogue;
import org.cyclamenstall.internal.catalogue.StoreRepair;
import org.cyclamenstall.internal.http.BlockingHttpClient;
import org.cyclamenstall.internal.http.HttpCall;
import org.cyclamenstall.internal.store.ConsulConfigurationStore;
import org.cyclamenstall.kernel.Closer;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.peers.Membership;
import org.cyclamenstall.settings.StoreSettings;
import org.cyclamenstall.standin.platform.StoreStandin;

/**
 * Measures the cost of the catalogue for a daemon: the time to apply a change and the
 * memory for several numbers of accounts, then the store calls, the response sizes and
 * the time until a change is active for several numbers of daemons that watch the store.
 */
public final class CatalogueBench {

	private static final int[] ACCOUNT_COUNTS = { 10, 550, 2_200, 8_800 };

	private static final int[] WATCHER_COUNTS = { 1, 5, 12, 24 };

	private static final int ACCOUNTS_DURING_EDITS = 2_200;

	private static final int APPLIED_CHANGES = 2_000;

	private static final int EDITS = 100;

	private static final int REPLICAS = 8;

	private static final int STORE_CALLS_PER_SECOND = 10_000;

	private static final double STANDIN_CALLS_PER_SECOND = 1_000_000;

	private static final long SEED = 1;

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final String PREFIX = "bench";

	private CatalogueBench() {
	}

	/**
	 * Runs the measurements and prints the results.
	 * @param arguments ignored
	 * @throws InterruptedException if it is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		Configurator.setRootLevel(Level.ERROR);
		// The first pass warms up the virtual machine; its results are printed as well.
		for (int accounts : ACCOUNT_COUNTS) {
			measureApply(accounts);
		}
		for (int accounts : ACCOUNT_COUNTS) {
			measureApply(accounts);
			measureMemory(accounts);
		}
		for (int watchers : WATCHER_COUNTS) {
			measureEdits(watchers);
		}
		System.exit(0);
	}

	private static void measureApply(int accounts) {
		LocalCatalogue replica = new LocalCatalogue(new PrometheusRegistry());
		List<CatalogueRecord> records = SampleCatalogue.records(accounts);
		replica.offer(records, "bench");
		Histogram micros = new Histogram(3);
		long revision = records.size();
		for (int change = 0; change < APPLIED_CHANGES; change++) {
			revision++;
			CatalogueRecord record = SampleCatalogue.record(SampleCatalogue.account(change % accounts, change),
					revision);
			long startNanos = System.nanoTime();
			replica.offer(List.of(record), "bench");
			micros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
		}
		System.out.printf("apply one change, %d accounts and 50 entries: p50 %d us, p99 %d us%n", accounts,
				micros.getValueAtPercentile(50), micros.getValueAtPercentile(99));
	}

	private static void measureMemory(int accounts) {
		List<LocalCatalogue> replicas = new ArrayList<>();
		long bytesBefore = usedHeapBytesAfterGc();
		for (int copy = 0; copy < REPLICAS; copy++) {
			LocalCatalogue replica = new LocalCatalogue(new PrometheusRegistry());
			replica.offer(SampleCatalogue.records(accounts), "bench");
			replicas.add(replica);
		}
		long usedBytes = usedHeapBytesAfterGc() - bytesBefore;
		System.out.printf("memory of a replica, %d accounts and 50 entries: %d KB%n", accounts,
				usedBytes / replicas.size() / 1024);
	}

	private static void measureEdits(int watchers) throws InterruptedException {
		try (Closer closer = new Closer()) {
			StoreStandin standin = closer.register(
					new StoreStandin("store", "127.0.0.1", 0, 0, STANDIN_CALLS_PER_SECOND, STANDIN_CALLS_PER_SECOND));
			CatalogueDaemon editor = new CatalogueDaemon(standin, closer);
			editor.replica.offer(SampleCatalogue.records(ACCOUNTS_DURING_EDITS), "bench");
			// Copies the sample catalogue to the store; repeated until it is complete.
			StoreRepair repair = new StoreRepair(editor.catalogueStore, editor.replica, editor.random);
			while (!repair.writeBack(editor.catalogueStore.readAll())) {
				TimeUnit.MILLISECONDS.sleep(100);
			}
			List<CatalogueDaemon> daemons = new ArrayList<>();
			for (int number = 0; number < watchers; number++) {
				CatalogueDaemon daemon = new CatalogueDaemon(standin, closer);
				daemon.createWatcher(closer).start();
				daemons.add(daemon);
			}
			for (CatalogueDaemon daemon : daemons) {
				daemon.awaitRevision(editor.replica.summary().revision());
			}
			measureEdits(editor, daemons, standin);
		}
	}

	private static void measureEdits(CatalogueDaemon editor, List<CatalogueDaemon> daemons, StoreStandin standin)
			throws InterruptedException {
		Map<String, Long> countsBefore = standin.counts().all();
		Histogram acceptanceMicros = new Histogram(3);
		Histogram activationMicros = new Histogram(3);
		for (int edit = 0; edit < EDITS; edit++) {
			long startNanos = System.nanoTime();
			CatalogueEditOutcome outcome = editor.edit(edit);
			acceptanceMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
			for (CatalogueDaemon daemon : daemons) {
				daemon.awaitRevision(outcome.record().revision());
			}
			activationMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
		}
		System.out.printf(
				"%d waiting daemons, %d edits at %d accounts: accepted p50 %.1f ms, p99 %.1f ms; "
						+ "in force everywhere p50 %.1f ms, p99 %.1f ms%n",
				daemons.size(), EDITS, ACCOUNTS_DURING_EDITS, acceptanceMicros.getValueAtPercentile(50) / 1e3,
				acceptanceMicros.getValueAtPercentile(99) / 1e3, activationMicros.getValueAtPercentile(50) / 1e3,
				activationMicros.getValueAtPercentile(99) / 1e3);
		standin.counts()
			.all()
			.forEach((kind, count) -> System.out.printf("  store calls an edit, %s: %.2f%n", kind,
					(count - countsBefore.getOrDefault(kind, 0L)) / (double) EDITS));
		printResponseSizes(standin);
	}

	private static void printResponseSizes(StoreStandin standin) {
		try (BlockingHttpClient client = new BlockingHttpClient("bench",
				new InetSocketAddress(standin.address(), standin.port()))) {
			for (String path : List.of("head", "entries/account-1", "?recurse=true")) {
				byte[] body = client.call(HttpCall.get("/v1/kv/" + PREFIX + "/catalogue/" + path, TIMEOUT)).body();
				System.out.printf("  bytes of an answer to %s: %d%n", path, body.length);
			}
		}
	}

	private static long usedHeapBytesAfterGc() {
		for (int round = 0; round < 3; round++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	/** Catalogue of one daemon, with its store and its watcher. */
	private static final class CatalogueDaemon implements Membership {

		private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);

		private final PrometheusRegistry metrics = new PrometheusRegistry();

		private final LocalCatalogue replica = new LocalCatalogue(this.metrics);

		private final StoreSettings settings;

		private final ConsulConfigurationStore store;

		private final CatalogueStore catalogueStore;

		CatalogueDaemon(StoreStandin standin, Closer closer) {
			this.settings = new StoreSettings("consul", standin.address(), standin.port(), PREFIX,
					(int) TIMEOUT.toMillis(), STORE_CALLS_PER_SECOND);
			this.store = closer.register(
					new ConsulConfigurationStore(this.settings, this.metrics, MonotonicClock.SYSTEM, this.random));
			this.catalogueStore = new CatalogueStore(this.store, PREFIX);
		}

		CatalogueWatcher createWatcher(Closer closer) {
			return closer.register(new CatalogueWatcher(this.store, this.replica, this, this.settings, this.metrics,
					MonotonicClock.SYSTEM, this.random));
		}

		CatalogueEditOutcome edit(int number) {
			CatalogueEditOutcome outcome = new CatalogueEditCommand(this.catalogueStore, this.replica, this,
					MonotonicClock.SYSTEM, this.random)
				.setEntry(SampleCatalogue.account(number, number))
				.setEditId("edit-" + number)
				.setOperator("bench")
				.call();
			if (outcome.status() != CatalogueEditStatus.ACCEPTED) {
				throw new IllegalStateException("The edit was not accepted: " + outcome);
			}
			return outcome;
		}

		void awaitRevision(long revision) throws InterruptedException {
			CountDownLatch reached = new CountDownLatch(1);
			this.replica.addListener((catalogue) -> {
				if (catalogue.revision() >= revision) {
					reached.countDown();
				}
			});
			if (this.replica.summary().revision() < revision && !reached.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
				throw new IllegalStateException("Revision " + revision + " did not become active");
			}
		}

		@Override
		public Member self() {
			return new Member("host", 1, "domain", "127.0.0.1", 1, MemberState.ALIVE, 0);
		}

		@Override
		public List<Member> members() {
			return List.of(self());
		}

	}

}
