package org.cyclamenstall.internal.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.catalogue.CatalogueReplica;
import org.cyclamenstall.claims.ClaimStatusSource;
import org.cyclamenstall.claims.ClaimantClient;
import org.cyclamenstall.claims.ClaimantResponse;
import org.cyclamenstall.hosts.HostList;
import org.cyclamenstall.hosts.HostSnapshot;
import org.cyclamenstall.kernel.Closer;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.kernel.Service;
import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.peers.Membership;
import org.cyclamenstall.policy.DemandExchange;
import org.cyclamenstall.settings.DaemonSettings;
import org.cyclamenstall.settings.PeerSettings;
import org.jspecify.annotations.Nullable;

/**
 * Exchanges membership, catalogue records and the demand on fleet-wide limits with the
 * other daemons. Listens on the peer port and starts an exchange with each selected peer
 * in every round. Thread-safe after {@link #start()}; setters must be called before.
 */
public final class PeerExchange implements Membership, ClaimantClient, MembershipTracker, Service {

	private static final Logger logger = LogManager.getLogger(PeerExchange.class);

	private static final int MAXIMUM_REPORT_ENTRIES = 128;

	private final DaemonSettings settings;

	private final HostList hosts;

	private final CatalogueReplica catalogue;

	private final DemandExchange demand;

	private final ClaimStatusSource claims;

	private final MonotonicClock clock;

	private final UniformRandomProvider random;

	private final PeerMetrics metrics;

	private final Closer closer = new Closer();

	private PeerSelection selection;

	private volatile PeerIdentity identity;

	private volatile int localPort;

	private volatile boolean leaving;

	private @Nullable volatile MemberTable memberTable;

	private @Nullable volatile PeerClient client;

	private @Nullable volatile ExchangeScheduler scheduler;

	/**
	 * Creates an exchange. The incarnation of this daemon is the current time unless
	 * {@link #setIncarnation} is called.
	 * @param settings the settings of the daemon
	 * @param hosts the platform's host list
	 * @param catalogue the catalogue replica of this daemon
	 * @param demand provides the local demand on fleet-wide limits and receives that of
	 * the peers
	 * @param claims provides the state of the claims of this daemon
	 * @param clock the clock
	 * @param random the random number generator
	 * @param metrics the metrics registry
	 */
	public PeerExchange(DaemonSettings settings, HostList hosts, CatalogueReplica catalogue, DemandExchange demand,
			ClaimStatusSource claims, MonotonicClock clock, UniformRandomProvider random, PrometheusRegistry metrics) {
		this.settings = settings;
		this.hosts = hosts;
		this.catalogue = catalogue;
		this.demand = demand;
		this.claims = claims;
		this.clock = clock;
		this.random = random;
		this.metrics = new PeerMetrics(metrics);
		Integer fanout = settings.peers().fanout();
		this.selection = (fanout != null) ? new RandomFanout(fanout, random) : new AllPeers();
		this.identity = new PeerIdentity(settings.host(), System.currentTimeMillis(), settings.failureDomain(), null);
	}

	/**
	 * Sets the incarnation, which is shared with other components of the daemon.
	 * @param incarnation the start time in milliseconds since the epoch
	 * @return this exchange
	 */
	public PeerExchange setIncarnation(long incarnation) {
		this.identity = new PeerIdentity(this.settings.host(), incarnation, this.settings.failureDomain(), null);
		return this;
	}

	/**
	 * Overrides the peer selection from the settings.
	 * @param selection selects the peers of each round
	 * @return this exchange
	 */
	public PeerExchange setSelection(PeerSelection selection) {
		this.selection = selection;
		return this;
	}

	@Override
	public void start() {
		PeerSettings peers = this.settings.peers();
		PeerSecret secret = PeerSecret.load(peers);
		CatalogueSync catalogueSync = new CatalogueSync(this.catalogue);
		MemberTable memberTable = new MemberTable(this.identity, peers.exchangeMillis(), this.clock);
		this.memberTable = memberTable;
		DemandReportLimiter demandLimiter = new DemandReportLimiter(MAXIMUM_REPORT_ENTRIES);
		PeerHandler handler = new PeerHandler(() -> this.identity, secret, this, catalogueSync, this.demand,
				demandLimiter, this.claims, this.metrics);
		PeerServer server = this.closer.register(new PeerServer(peers.address(), peers.port(), handler));
		this.localPort = server.port();
		this.identity = advertisedIdentity(server.port());
		PeerClient peerClient = this.closer.register(new PeerClient(() -> this.identity, memberTable, this, secret,
				catalogueSync, this.demand, demandLimiter, this.metrics, peers.timeoutMillis()));
		this.client = peerClient;
		ExchangeScheduler exchangeScheduler = this.closer.register(new ExchangeScheduler(memberTable, peerClient,
				catalogueSync, this.selection, peers, this::onRoundCompleted));
		this.scheduler = exchangeScheduler;
		initializeEndpoints(memberTable);
		server.start();
		this.catalogue.addListener((snapshot) -> exchangeScheduler.schedulePush());
		exchangeScheduler.start(this.random);
	}

	/**
	 * Marks this daemon as leaving and notifies every reachable peer in an exchange.
	 * Blocks for at most the timeout of one exchange.
	 */
	public void leave() {
		this.leaving = true;
		ExchangeScheduler exchangeScheduler = this.scheduler;
		if (exchangeScheduler != null) {
			exchangeScheduler.exchangeWithAll();
		}
	}

	/**
	 * Returns the local peer port. If the port in the settings is zero, this is the port
	 * that the system assigned.
	 * @return the TCP port; zero before {@link #start()}
	 */
	public int port() {
		return this.localPort;
	}

	@Override
	public Member self() {
		PeerIdentity local = this.identity;
		MemberState state = this.leaving ? MemberState.LEAVING : MemberState.ALIVE;
		PeerEndpoint endpoint = (local.endpoint() != null) ? local.endpoint()
				: new PeerEndpoint(this.settings.peers().address(), port());
		return new Member(local.host(), local.incarnation(), local.failureDomain(), endpoint.address(), endpoint.port(),
				state, this.catalogue.summary().revision());
	}

	@Override
	public List<Member> members() {
		List<Member> members = new ArrayList<>();
		members.add(self());
		MemberTable memberTable = this.memberTable;
		if (memberTable != null) {
			members.addAll(memberTable.otherMembers());
		}
		members.sort(Comparator.comparing(Member::host));
		return members;
	}

	@Override
	public ClaimantResponse query(String host, long incarnation, String attempt) {
		PeerClient peerClient = this.client;
		return (peerClient != null) ? peerClient.query(host, incarnation, attempt) : ClaimantResponse.UNKNOWN;
	}

	@Override
	public SenderCheckResult onMessage(PeerIdentity sender, boolean senderLeaving, long revision) {
		MemberTable memberTable = Objects.requireNonNull(this.memberTable);
		SenderCheckResult result = memberTable.recordMessage(sender, senderLeaving, revision);
		switch (result) {
			case NEW -> logger.info("Discovered peer {} with incarnation {}", sender.host(), sender.incarnation());
			case OLDER_INCARNATION, SAME_HOST -> logger.warn("Ignored a message from host {} with incarnation {}: {}",
					sender.host(), sender.incarnation(), result);
			default -> {
			}
		}
		if (result == SenderCheckResult.NEW || senderLeaving) {
			this.demand.updateHostsSharingLimits(memberTable.hostsSharingLimits());
		}
		return result;
	}

	@Override
	public boolean isLeaving() {
		return this.leaving;
	}

	@Override
	public List<PeerIdentity> identities() {
		return Objects.requireNonNull(this.memberTable).identities();
	}

	@Override
	public void close() {
		this.closer.close();
	}

	private PeerIdentity advertisedIdentity(int port) {
		PeerSettings peers = this.settings.peers();
		String address = (peers.advertisedAddress() != null) ? peers.advertisedAddress() : peers.address();
		int advertisedPort = (peers.advertisedPort() != null) ? peers.advertisedPort() : port;
		boolean wildcard = address.equals("0.0.0.0") || address.equals("::");
		return new PeerIdentity(this.identity.host(), this.identity.incarnation(), this.identity.failureDomain(),
				wildcard ? null : new PeerEndpoint(address, advertisedPort));
	}

	private void initializeEndpoints(MemberTable memberTable) {
		this.settings.peers()
			.seeds()
			.forEach((seed) -> memberTable.addSeed(seed.host(), new PeerEndpoint(seed.address(), seed.port())));
		String service = this.settings.platform().hostList().daemonService();
		this.hosts.watch(service);
		this.hosts.addListener((snapshot) -> memberTable.setListedEndpoints(endpointsOf(snapshot, service)));
		memberTable.setListedEndpoints(endpointsOf(this.hosts.current(), service));
	}

	private static Map<String, PeerEndpoint> endpointsOf(HostSnapshot snapshot, String service) {
		Map<String, PeerEndpoint> endpoints = new HashMap<>();
		snapshot.hosts(service)
			.forEach((host) -> endpoints.put(host.host(), new PeerEndpoint(host.address(), host.port())));
		return endpoints;
	}

	private void onRoundCompleted() {
		MemberTable memberTable = Objects.requireNonNull(this.memberTable);
		PeerClient peerClient = Objects.requireNonNull(this.client);
		for (String host : memberTable.removeExpired()) {
			logger.info("Removed peer {}: no message was received within the expiry period", host);
			peerClient.disconnect(host);
		}
		this.demand.updateHostsSharingLimits(memberTable.hostsSharingLimits());
		for (MemberState state : MemberState.values()) {
			this.metrics.setMembers(state,
					memberTable.otherMembers().stream().filter((member) -> member.state() == state).count());
		}
	}

}
