package org.cyclamenstall.standin.bench;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.catalogue.Catalogue;
import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.catalogue.Limits;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.hosts.HostSnapshot;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.policy.PolicyTrafficController;
import org.cyclamenstall.internal.policy.TrafficControllers;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.GrantListener;
import org.cyclamenstall.policy.Refusal;
import org.cyclamenstall.policy.RequestAttributes;
import org.cyclamenstall.policy.Ticket;
import org.cyclamenstall.settings.PolicySettings;

/**
 * Measures the time of all decisions about one request: submission, grant, first token,
 * load report, release of the grant and completion, with one tick per 200 requests.
 * Measures once with half of the slots in use, and once with all slots in use and 300
 * requests queued.
 */
final class DecisionBenchmark {

	private static final int[] UPSTREAM_COUNTS = { 10, 100, 1_000 };

	private static final int[] ACCOUNT_COUNTS = { 10, 2_200 };

	private static final int WARM_UP_REQUESTS = 20_000;

	private static final int MEASURED_REQUESTS = 20_000;

	private static final int SLOTS = 8;

	private static final int QUEUED_REQUESTS = 300;

	private static final long ARRIVAL_INTERVAL_NANOS = 100_000;

	private static final int REQUESTS_PER_TICK = 200;

	private static final long HIGHEST_TRACKABLE_NANOS = 10_000_000_000L;

	private final PrintStream out;

	DecisionBenchmark(PrintStream out) {
		this.out = out;
	}

	void run() {
		for (int upstreams : UPSTREAM_COUNTS) {
			for (int accounts : ACCOUNT_COUNTS) {
				measure(upstreams, accounts, upstreams * SLOTS / 2, "half");
				measure(upstreams, accounts, upstreams * SLOTS + QUEUED_REQUESTS, "full");
			}
		}
	}

	private void measure(int upstreams, int accounts, int unfinishedLimit, String slotUse) {
		AtomicLong clock = new AtomicLong(1);
		PolicyTrafficController controller = createController(upstreams, clock::get);
		List<CatalogueEntry> accountEntries = createAccounts(accounts);
		CatalogueEntry entry = new CatalogueEntry("chat", EntryKind.MODEL, "owner", Tier.INTERACTIVE, Limits.NONE,
				"cuptor", "chat", null, null, true, null, null, null, null, null, null);
		Deque<MeasuredRequest> running = new ArrayDeque<>();
		Histogram histogram = new Histogram(HIGHEST_TRACKABLE_NANOS, 3);
		long startNanos = 0;
		for (int count = 0; count < WARM_UP_REQUESTS + MEASURED_REQUESTS; count++) {
			if (count == WARM_UP_REQUESTS) {
				startNanos = System.nanoTime();
			}
			long requestStartNanos = System.nanoTime();
			long now = clock.addAndGet(ARRIVAL_INTERVAL_NANOS);
			if (count % REQUESTS_PER_TICK == 0) {
				controller.tick(now);
			}
			RequestAttributes attributes = new RequestAttributes("r", entry, accountEntries.get(count % accounts),
					Tier.values()[count % Tier.values().length], now, 100, 100, true, true, null);
			new MeasuredRequest(controller, attributes, running);
			if (controller.unfinishedRequests() > unfinishedLimit) {
				running.removeFirst().complete();
			}
			if (count >= WARM_UP_REQUESTS) {
				histogram.recordValue(System.nanoTime() - requestStartNanos);
			}
		}
		long elapsedNanos = System.nanoTime() - startNanos;
		this.out.println(String.format(Locale.ROOT,
				"upstreams=%d accounts=%d slots=%s mean=%.2fus p50=%.2fus p99=%.2fus p99.9=%.2fus loop=%.2fus",
				upstreams, accounts, slotUse, histogram.getMean() / 1e3, histogram.getValueAtPercentile(50) / 1e3,
				histogram.getValueAtPercentile(99) / 1e3, histogram.getValueAtPercentile(99.9) / 1e3,
				elapsedNanos / 1e3 / MEASURED_REQUESTS));
	}

	private static PolicyTrafficController createController(int upstreams, MonotonicClock clock) {
		List<ListedHost> hosts = new ArrayList<>();
		for (int number = 0; number < upstreams; number++) {
			hosts.add(new ListedHost("cuptor", "cuptor-" + number, "127.1." + number / 250 + "." + (1 + number % 250),
					80, "ro-central-a", HostState.LIVE));
		}
		return TrafficControllers.create(PolicySettings.DEFAULTS, new Trial.FixedCatalogue(Catalogue.EMPTY),
				new Trial.FixedHosts(new HostSnapshot(Map.of("cuptor", hosts))), "ro-central-a", clock,
				RandomSource.XO_RO_SHI_RO_128_PP.create(1), new PrometheusRegistry());
	}

	private static List<CatalogueEntry> createAccounts(int accounts) {
		List<CatalogueEntry> accountEntries = new ArrayList<>();
		Limits limits = new Limits(1e6, 1_000_000, 1e9, null, null, null);
		for (int number = 0; number < accounts; number++) {
			accountEntries.add(new CatalogueEntry("account-" + number, EntryKind.ACCOUNT, "owner", Tier.INTERACTIVE,
					limits, null, null, null, null, null, null, null, null, null, null, Set.of()));
		}
		return accountEntries;
	}

	/**
	 * Request that is queued or running.
	 */
	private static final class MeasuredRequest implements GrantListener {

		private final Ticket ticket;

		private final Deque<MeasuredRequest> running;

		private Grant grant;

		MeasuredRequest(PolicyTrafficController controller, RequestAttributes attributes,
				Deque<MeasuredRequest> running) {
			this.running = running;
			this.ticket = controller.submit(attributes, this);
		}

		@Override
		public void onGranted(Grant newGrant) {
			this.grant = newGrant;
			this.running.addLast(this);
		}

		@Override
		public void onRefused(Refusal refusal) {
			throw new IllegalStateException(refusal.toString());
		}

		void complete() {
			this.grant.recordFirstToken();
			this.grant.recordLoad(SLOTS / 2, SLOTS, 1);
			this.grant.recordTokens(20);
			this.grant.release(AttemptResult.COMPLETED);
			this.ticket.finish(20);
		}

	}

}
