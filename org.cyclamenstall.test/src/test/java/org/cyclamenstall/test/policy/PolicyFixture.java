package org.cyclamenstall.test.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.catalogue.Catalogue;
import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.catalogue.CatalogueView;
import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.catalogue.Limits;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.hosts.HostList;
import org.cyclamenstall.hosts.HostSnapshot;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.policy.Decision;
import org.cyclamenstall.internal.policy.PolicyTrafficController;
import org.cyclamenstall.internal.policy.TrafficControllers;
import org.cyclamenstall.policy.RequestAttributes;
import org.cyclamenstall.policy.Ticket;
import org.cyclamenstall.settings.PolicySettings;

/**
 * Runs a traffic controller with an in-memory host list and a manual clock, but without
 * the timer thread.
 */
class PolicyFixture {

	static final String SERVICE = "cuptor";

	static final PolicySettings TIER_SCHEDULING = settings("tiers", 4, 1_000);

	final AtomicLong nowNanos = new AtomicLong(1);

	final List<Decision> decisions = new ArrayList<>();

	final PrometheusRegistry metrics = new PrometheusRegistry();

	final List<ListedHost> hosts = new ArrayList<>();

	final List<Consumer<HostSnapshot>> hostListeners = new ArrayList<>();

	private final FixtureCatalogue catalogue = new FixtureCatalogue();

	final PolicyTrafficController controller;

	Runnable onWatch = () -> {
	};

	private long requestCount;

	PolicyFixture(PolicySettings settings, int upstreams, long seed) {
		for (int number = 1; number <= upstreams; number++) {
			this.hosts.add(host(number, HostState.LIVE));
		}
		this.controller = TrafficControllers.create(settings, this.catalogue, new FixtureHostList(), "ro-central-a",
				this.nowNanos::get, RandomSource.XO_RO_SHI_RO_128_PP.create(seed), this.metrics, this.decisions::add);
	}

	static PolicySettings settings(String scheduling, int slotsPerUpstream, int queueLength) {
		return new PolicySettings(scheduling, null, null, null, null, null, slotsPerUpstream, null, null, queueLength,
				null, null, null);
	}

	static ListedHost host(int number, HostState state) {
		return new ListedHost(SERVICE, "cuptor-" + number, "127.0.0." + number, 80, "ro-central-a", state);
	}

	static CatalogueEntry model(Limits limits) {
		return new CatalogueEntry("chat", EntryKind.MODEL, "owner", Tier.INTERACTIVE, limits, SERVICE, "chat", 0.53,
				0.045, true, null, null, null, null, null, null);
	}

	static CatalogueEntry account(String name, Limits limits) {
		return new CatalogueEntry(name, EntryKind.ACCOUNT, "owner", Tier.INTERACTIVE, limits, null, null, null, null,
				null, null, null, null, null, null, Set.of("chat"));
	}

	RequestAttributes attributes(Tier tier) {
		return attributes(tier, "brutarie", Limits.NONE);
	}

	RequestAttributes attributes(Tier tier, String account, Limits limits) {
		this.requestCount++;
		return new RequestAttributes("request-" + this.requestCount, model(limits), account(account, Limits.NONE), tier,
				this.nowNanos.get(), 10, 100, true, true, null);
	}

	Ticket submit(Tier tier, RecordingListener listener) {
		return this.controller.submit(attributes(tier), listener);
	}

	RecordingListener submit(Tier tier) {
		RecordingListener listener = new RecordingListener();
		submit(tier, listener);
		return listener;
	}

	void advanceMillis(long millis) {
		this.nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
		this.controller.tick(this.nowNanos.get());
	}

	/**
	 * Adds the entry of the model to the catalogue, which was empty.
	 */
	void publishModel() {
		CatalogueEntry entry = model(Limits.NONE);
		this.catalogue.publish(new Catalogue(
				Map.of(entry.name(), new CatalogueRecord(entry.name(), 1, "edit", "operator", 0, entry))));
	}

	void publishHosts() {
		HostSnapshot snapshot = snapshot();
		this.hostListeners.forEach((listener) -> listener.accept(snapshot));
	}

	private HostSnapshot snapshot() {
		return new HostSnapshot(Map.of(SERVICE, List.copyOf(this.hosts)));
	}

	private final class FixtureHostList implements HostList {

		@Override
		public HostSnapshot current() {
			return snapshot();
		}

		@Override
		public void addListener(Consumer<HostSnapshot> listener) {
			PolicyFixture.this.hostListeners.add(listener);
		}

		@Override
		public void watch(String service) {
			PolicyFixture.this.onWatch.run();
		}

	}

	private static final class FixtureCatalogue implements CatalogueView {

		private final List<Consumer<Catalogue>> listeners = new ArrayList<>();

		private Catalogue catalogue = Catalogue.EMPTY;

		void publish(Catalogue newCatalogue) {
			this.catalogue = newCatalogue;
			this.listeners.forEach((listener) -> listener.accept(newCatalogue));
		}

		@Override
		public Catalogue current() {
			return this.catalogue;
		}

		@Override
		public void addListener(Consumer<Catalogue> listener) {
			this.listeners.add(listener);
		}

	}

}
