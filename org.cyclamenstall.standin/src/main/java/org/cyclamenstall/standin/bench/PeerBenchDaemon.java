package org.cyclamenstall.standin.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.claims.ClaimantResponse;
import org.cyclamenstall.hosts.HostList;
import org.cyclamenstall.hosts.HostSnapshot;
import org.cyclamenstall.internal.catalogue.LocalCatalogue;
import org.cyclamenstall.internal.peers.PeerExchange;
import org.cyclamenstall.internal.peers.PeerSelection;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.policy.DemandExchange;
import org.cyclamenstall.policy.DemandReport;
import org.cyclamenstall.settings.CallerSettings;
import org.cyclamenstall.settings.DaemonSettings;
import org.cyclamenstall.settings.HostListSettings;
import org.cyclamenstall.settings.OperatorSettings;
import org.cyclamenstall.settings.PeerAddress;
import org.cyclamenstall.settings.PeerSettings;
import org.cyclamenstall.settings.PlatformSettings;
import org.cyclamenstall.settings.StoreSettings;

/**
 * Peer exchange and catalogue of one daemon for {@link PeerBench}, with a demand report
 * of a fixed size. Thread-safe after {@link #start()}.
 */
final class PeerBenchDaemon implements AutoCloseable {

	private static final int TIMEOUT_MILLIS = 2_000;

	private final PrometheusRegistry metrics = new PrometheusRegistry();

	private final LocalCatalogue catalogue = new LocalCatalogue(new PrometheusRegistry());

	private final PeerExchange exchange;

	private final String address;

	private final String host;

	PeerBenchDaemon(int number, List<PeerAddress> seeds, PeerSelection selection, int exchangeMillis,
			int reportEntries) {
		this.host = "gara-" + number;
		this.address = "127.0.1." + (number + 1);
		PeerSettings peers = new PeerSettings(this.address, 0, null, seeds, exchangeMillis, TIMEOUT_MILLIS);
		DaemonSettings settings = new DaemonSettings(this.host, "ro-central-a", "ro-central",
				new CallerSettings("127.0.0.1", 0, null, null, null, null, null),
				new OperatorSettings("127.0.0.1", 0, null), peers,
				new PlatformSettings(new StoreSettings(null, "127.0.0.1", 1, null, null, null),
						new HostListSettings(null, "127.0.0.1", 1, null, null, null)),
				null, null, null, null);
		this.exchange = new PeerExchange(settings, new NoHosts(), this.catalogue, new FixedDemand(reportEntries),
				(attempt) -> ClaimantResponse.UNKNOWN, MonotonicClock.SYSTEM,
				RandomSource.XO_RO_SHI_RO_128_PP.create(number), this.metrics)
			.setSelection(selection);
	}

	PeerBenchDaemon start() {
		this.exchange.start();
		return this;
	}

	PeerAddress seed() {
		return new PeerAddress(this.host, this.address, this.exchange.port());
	}

	LocalCatalogue catalogue() {
		return this.catalogue;
	}

	int memberCount() {
		return this.exchange.members().size();
	}

	/**
	 * Returns the number of bytes sent and received in the exchanges that this daemon
	 * started.
	 * @return the number of bytes
	 */
	double exchangedBytes() {
		return sumOfCounter("cyclamenstall_peer_bytes");
	}

	/**
	 * Returns the number of exchanges that this daemon started.
	 * @return the number of exchanges
	 */
	double startedExchanges() {
		return sumOfCounter("cyclamenstall_peer_exchanges");
	}

	@Override
	public void close() {
		this.exchange.close();
	}

	static CatalogueRecord record(String name, long revision) {
		CatalogueEntry entry = new CatalogueEntry(name, EntryKind.MODEL, "owner", Tier.INTERACTIVE, null, "cuptor",
				name, 0.53, 0.045, true, null, null, null, null, null, null);
		return new CatalogueRecord(name, revision, "edit-" + revision, "operator", 0, entry);
	}

	private double sumOfCounter(String name) {
		double sum = 0;
		for (MetricSnapshot snapshot : this.metrics.scrape()) {
			if (snapshot instanceof CounterSnapshot counter && counter.getMetadata().getName().equals(name)) {
				sum += counter.getDataPoints().stream().mapToDouble((point) -> point.getValue()).sum();
			}
		}
		return sum;
	}

	/**
	 * Demand exchange that always reports the same demand.
	 */
	private static final class FixedDemand implements DemandExchange {

		private final DemandReport report;

		FixedDemand(int entries) {
			Map<String, Double> limits = new HashMap<>();
			Map<String, Integer> upstreams = new HashMap<>();
			for (int entry = 0; entry < entries; entry++) {
				limits.put("account-" + entry + "/requests", entry + 0.5);
				upstreams.put("127.0.2." + entry + ":20000", entry);
			}
			this.report = new DemandReport(limits, upstreams);
		}

		@Override
		public DemandReport createDemandReport() {
			return this.report;
		}

		@Override
		public void updatePeerDemand(String peer, DemandReport ignored) {
		}

		@Override
		public void updateHostsSharingLimits(Set<String> hosts) {
		}

	}

	/**
	 * Host list without hosts.
	 */
	private static final class NoHosts implements HostList {

		@Override
		public HostSnapshot current() {
			return HostSnapshot.EMPTY;
		}

		@Override
		public void addListener(Consumer<HostSnapshot> listener) {
		}

		@Override
		public void watch(String service) {
		}

	}

}
