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
 * Measures the time that all decisions on one request take: submission, grant, first
 * token, load report, end and settlement, with a tick for each 200 requests: with half of
 * the slots in use, and with all in use and 300 requests waiting.
 */
final class DecisionCost {

	private static final int[] UPSTREAMS = { 10, 100, 1_000 };

	private static final int[] ACCOUNTS = { 10, 2_200 };

	private static final int WARM_UP = 20_000;

	private static final int MEASURED = 20_000;

	private static final int SLOTS = 8;

	private static final int WAITING = 300;

	private static final long STEP_NANOS = 100_000;

	private static final int REQUESTS_PER_TICK = 200;

	private static final long LARGEST_NANOS = 10_000_000_000L;

	private final PrintStream out;

	DecisionCost(PrintStream out) {
		this.out = out;
	}

	void run() {
		for (int upstreams : UPSTREAMS) {
			for (int accounts : ACCOUNTS) {
				measure(upstreams, accounts, upstreams * SLOTS / 2, "half");
				measure(upstreams, accounts, upstreams * SLOTS + WAITING, "full");
			}
		}
	}

	private void measure(int upstreams, int accounts, int present, String use) {
		AtomicLong clock = new AtomicLong(1);
		PolicyTrafficController controller = controller(upstreams, clock::get);
		List<CatalogueEntry> callers = callers(accounts);
		CatalogueEntry entry = new CatalogueEntry("chat", EntryKind.MODEL, "owner", Tier.INTERACTIVE, Limits.NONE,
				"cuptor", "chat", null, null, true, null, null, null, null, null, null);
		Deque<Holder> running = new ArrayDeque<>();
		Histogram histogram = new Histogram(LARGEST_NANOS, 3);
		long startedAt = 0;
		for (int count = 0; count < WARM_UP + MEASURED; count++) {
			if (count == WARM_UP) {
				startedAt = System.nanoTime();
			}
			long before = System.nanoTime();
			long now = clock.addAndGet(STEP_NANOS);
			if (count % REQUESTS_PER_TICK == 0) {
				controller.tick(now);
			}
			RequestAttributes facts = new RequestAttributes("r", entry, callers.get(count % accounts),
					Tier.values()[count % Tier.values().length], now, 100, 100, true, true, null);
			new Holder(controller, facts, running);
			if (controller.unfinishedRequests() > present) {
				running.removeFirst().end();
			}
			if (count >= WARM_UP) {
				histogram.recordValue(System.nanoTime() - before);
			}
		}
		long elapsed = System.nanoTime() - startedAt;
		this.out.println(String.format(Locale.ROOT,
				"upstreams=%d accounts=%d slots=%s mean=%.2fus p50=%.2fus p99=%.2fus p99.9=%.2fus loop=%.2fus",
				upstreams, accounts, use, histogram.getMean() / 1e3, histogram.getValueAtPercentile(50) / 1e3,
				histogram.getValueAtPercentile(99) / 1e3, histogram.getValueAtPercentile(99.9) / 1e3,
				elapsed / 1e3 / MEASURED));
	}

	private static PolicyTrafficController controller(int upstreams, MonotonicClock clock) {
		List<ListedHost> hosts = new ArrayList<>();
		for (int number = 0; number < upstreams; number++) {
			hosts.add(new ListedHost("cuptor", "cuptor-" + number, "127.1." + number / 250 + "." + (1 + number % 250),
					80, "ro-central-a", HostState.LIVE));
		}
		return TrafficControllers.create(PolicySettings.DEFAULTS, new Trial.EmptyCatalogue(Catalogue.EMPTY),
				new Trial.FixedHosts(new HostSnapshot(Map.of("cuptor", hosts))), "ro-central-a", clock,
				RandomSource.XO_RO_SHI_RO_128_PP.create(1), new PrometheusRegistry());
	}

	private static List<CatalogueEntry> callers(int accounts) {
		List<CatalogueEntry> callers = new ArrayList<>();
		Limits limits = new Limits(1e6, 1_000_000, 1e9, null, null, null);
		for (int number = 0; number < accounts; number++) {
			callers.add(new CatalogueEntry("account-" + number, EntryKind.ACCOUNT, "owner", Tier.INTERACTIVE, limits,
					null, null, null, null, null, null, null, null, null, null, Set.of()));
		}
		return callers;
	}

	/**
	 * Holds one running request.
	 */
	private static final class Holder implements GrantListener {

		private final Ticket ticket;

		private final Deque<Holder> running;

		private Grant grant;

		Holder(PolicyTrafficController controller, RequestAttributes facts, Deque<Holder> running) {
			this.running = running;
			this.ticket = controller.submit(facts, this);
		}

		@Override
		public void onGranted(Grant given) {
			this.grant = given;
			this.running.addLast(this);
		}

		@Override
		public void onRefused(Refusal refused) {
			throw new IllegalStateException(refused.toString());
		}

		void end() {
			this.grant.recordFirstToken();
			this.grant.recordLoad(SLOTS / 2, SLOTS, 1);
			this.grant.recordTokens(20);
			this.grant.release(AttemptResult.COMPLETED);
			this.ticket.finish(20);
		}

	}

}
