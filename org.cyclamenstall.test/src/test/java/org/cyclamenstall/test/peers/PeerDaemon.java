package org.cyclamenstall.test.peers;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.claims.ClaimantResponse;
import org.cyclamenstall.hosts.HostList;
import org.cyclamenstall.hosts.HostSnapshot;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.catalogue.LocalCatalogue;
import org.cyclamenstall.internal.peers.PeerExchange;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;
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
import org.jspecify.annotations.Nullable;

/**
 * Runs the {@link PeerExchange} of one daemon over real sockets, without the other
 * components of a daemon.
 */
final class PeerDaemon implements AutoCloseable {

	/**
	 * Exceeds the duration of a test, so that only the first round and pushes take place.
	 */
	static final int LONG_INTERVAL_MILLIS = 60_000;

	static final int SHORT_INTERVAL_MILLIS = 50;

	private final LocalCatalogue catalogue = new LocalCatalogue(new PrometheusRegistry());

	private final PublishedHostList hosts = new PublishedHostList();

	private final RecordedDemand demand = new RecordedDemand();

	private final Map<String, ClaimantResponse> claims = new ConcurrentHashMap<>();

	private final PeerExchange exchange;

	private final DaemonSettings settings;

	private final String host;

	private PeerDaemon(String host, long incarnation, PeerSettings peers) {
		this.host = host;
		this.settings = new DaemonSettings(host, "ro-central-a", "ro-central",
				new CallerSettings("127.0.0.1", 0, null, null, null, null, null),
				new OperatorSettings("127.0.0.1", 0, null), peers,
				new PlatformSettings(new StoreSettings(null, "127.0.0.1", 1, null, null, null),
						new HostListSettings(null, "127.0.0.1", 1, null, null, null)),
				null, null, null, null);
		this.exchange = new PeerExchange(this.settings, this.hosts, this.catalogue, this.demand,
				(attempt) -> this.claims.getOrDefault(attempt, ClaimantResponse.UNKNOWN), MonotonicClock.SYSTEM,
				RandomSource.XO_RO_SHI_RO_128_PP.create(incarnation), new PrometheusRegistry())
			.setIncarnation(incarnation);
	}

	static PeerDaemon create(String host, long incarnation, int exchangeMillis, PeerAddress... seeds) {
		return create(host, incarnation,
				new PeerSettings("127.0.0.2", 0, null, List.of(seeds), exchangeMillis, 10_000));
	}

	static PeerDaemon create(String host, long incarnation, PeerSettings peers) {
		return new PeerDaemon(host, incarnation, peers);
	}

	PeerDaemon start() {
		this.exchange.start();
		return this;
	}

	void publishInHostList(PeerAddress daemon) {
		this.hosts.publish(daemon);
	}

	PeerAddress peerAddress() {
		return new PeerAddress(this.host, "127.0.0.2", this.exchange.port());
	}

	PeerExchange exchange() {
		return this.exchange;
	}

	LocalCatalogue catalogue() {
		return this.catalogue;
	}

	RecordedDemand demand() {
		return this.demand;
	}

	Map<String, ClaimantResponse> claims() {
		return this.claims;
	}

	int offer(CatalogueRecord... records) {
		return this.catalogue.offer(List.of(records), "test");
	}

	long revision() {
		return this.catalogue.summary().revision();
	}

	@Nullable MemberState stateOf(String otherHost) {
		return member(otherHost).map(Member::state).orElse(null);
	}

	Optional<Member> member(String otherHost) {
		return this.exchange.members().stream().filter((member) -> member.host().equals(otherHost)).findFirst();
	}

	@Override
	public void close() {
		this.exchange.close();
	}

	static CatalogueRecord record(String name, long revision) {
		return new CatalogueRecord(name, revision, "edit-" + revision, "operator", 0, null);
	}

	/**
	 * Provides a fixed local demand, and records the demand of the peers and the hosts
	 * that share the limits.
	 */
	static final class RecordedDemand implements DemandExchange {

		private final Map<String, DemandReport> reports = new ConcurrentHashMap<>();

		private volatile Set<String> lastHostsSharingLimits = Set.of();

		@Override
		public DemandReport createDemandReport() {
			return new DemandReport(Map.of("limit", 2.5), Map.of("127.0.0.9:1", 3));
		}

		@Override
		public void updatePeerDemand(String peer, DemandReport report) {
			this.reports.put(peer, report);
		}

		@Override
		public void updateHostsSharingLimits(Set<String> hosts) {
			this.lastHostsSharingLimits = Set.copyOf(hosts);
		}

		Map<String, DemandReport> reports() {
			return this.reports;
		}

		Set<String> lastHostsSharingLimits() {
			return this.lastHostsSharingLimits;
		}

	}

	/**
	 * Lists the daemon that a test has published.
	 */
	private static final class PublishedHostList implements HostList {

		private final List<Consumer<HostSnapshot>> listeners = new CopyOnWriteArrayList<>();

		private volatile HostSnapshot current = HostSnapshot.EMPTY;

		@Override
		public HostSnapshot current() {
			return this.current;
		}

		@Override
		public void addListener(Consumer<HostSnapshot> listener) {
			this.listeners.add(listener);
		}

		@Override
		public void watch(String service) {
		}

		void publish(PeerAddress daemon) {
			ListedHost listed = new ListedHost("cyclamenstall", daemon.host(), daemon.address(), daemon.port(),
					"ro-central-a", HostState.LIVE);
			this.current = new HostSnapshot(Map.of("cyclamenstall", List.of(listed)));
			this.listeners.forEach((listener) -> listener.accept(this.current));
		}

	}

}
