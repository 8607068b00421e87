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
import org.cyclamenstall.claims.ClaimantAnswer;
import org.cyclamenstall.claims.ClaimantQuery;
import org.cyclamenstall.claims.PeerClaimSource;
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
 * Exchanges state with the other daemons: who they are, which catalogue is in force, and
 * what they use of fleet-wide limits. Serves the peers' port and begins one exchange with
 * each chosen peer in every round. Thread-safe after {@link #start()}; the setters must
 * be called before.
 */
public final class PeerExchange implements Membership, ClaimantQuery, PeerReceiver, Service {

	private static final Logger logger = LogManager.getLogger(PeerExchange.class);

	private static final int REPORTED_ENTRIES = 128;

	private final DaemonSettings settings;

	private final HostList hosts;

	private final CatalogueReplica catalogue;

	private final DemandExchange demand;

	private final PeerClaimSource claims;

	private final MonotonicClock clock;

	private final UniformRandomProvider random;

	private final PeerMetrics metrics;

	private final Closer closer = new Closer();

	private PeerSelection selection;

	private volatile PeerIdentity identity;

	private volatile int boundPort;

	private volatile boolean leaving;

	private @Nullable volatile MemberTable table;

	private @Nullable volatile PeerCaller caller;

	private @Nullable volatile ExchangeRounds rounds;

	/**
	 * Creates an exchange; its incarnation is the time of this call.
	 * @param settings the settings of the daemon
	 * @param hosts the platform's list of hosts
	 * @param catalogue the catalogue in force
	 * @param demand the demand on fleet-wide limits
	 * @param claims the claims of this daemon
	 * @param clock the clock
	 * @param random the source of random numbers
	 * @param metrics the registry of metrics
	 */
	public PeerExchange(DaemonSettings settings, HostList hosts, CatalogueReplica catalogue, DemandExchange demand,
			PeerClaimSource claims, MonotonicClock clock, UniformRandomProvider random, PrometheusRegistry metrics) {
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
	 * Sets the incarnation, which other parts of the daemon share.
	 * @param incarnation the time of the start in milliseconds since the epoch
	 * @return this exchange
	 */
	public PeerExchange setIncarnation(long incarnation) {
		this.identity = new PeerIdentity(this.settings.host(), incarnation, this.settings.failureDomain(), null);
		return this;
	}

	/**
	 * Sets how the peers of a round are chosen, in place of what the settings say.
	 * @param selection the selection
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
		CatalogueSync sync = new CatalogueSync(this.catalogue);
		MemberTable members = new MemberTable(this.identity, peers.exchangeMillis(), this.clock);
		this.table = members;
		DemandBound bound = new DemandBound(REPORTED_ENTRIES);
		PeerHandler handler = new PeerHandler(() -> this.identity, secret, this, sync, this.demand, bound, this.claims,
				this.metrics);
		PeerServer server = this.closer.register(new PeerServer(peers.address(), peers.port(), handler));
		this.boundPort = server.port();
		this.identity = boundIdentity(server.port());
		PeerCaller peerCaller = this.closer.register(new PeerCaller(() -> this.identity, members, this, secret, sync,
				this.demand, bound, this.metrics, peers.timeoutMillis()));
		this.caller = peerCaller;
		ExchangeRounds exchangeRounds = this.closer
			.register(new ExchangeRounds(members, peerCaller, sync, this.selection, peers, this::afterRound));
		this.rounds = exchangeRounds;
		takeSeeds(members);
		server.start();
		this.catalogue.addListener((any) -> exchangeRounds.pushSoon());
		exchangeRounds.start(this.random);
	}

	/**
	 * Tells every peer that this daemon is shutting down. Waits for at most the time-out
	 * of one exchange.
	 */
	public void leave() {
		this.leaving = true;
		ExchangeRounds exchangeRounds = this.rounds;
		if (exchangeRounds != null) {
			exchangeRounds.exchangeWithAll();
		}
	}

	/**
	 * Returns the port that is listened on, also if the settings ask for a free one.
	 * @return the TCP port
	 */
	public int port() {
		return this.boundPort;
	}

	@Override
	public Member self() {
		PeerIdentity own = this.identity;
		MemberState state = this.leaving ? MemberState.LEAVING : MemberState.ALIVE;
		PeerEndpoint endpoint = (own.endpoint() != null) ? own.endpoint()
				: new PeerEndpoint(this.settings.peers().address(), port());
		return new Member(own.host(), own.incarnation(), own.failureDomain(), endpoint.address(), endpoint.port(),
				state, this.catalogue.summary().revision());
	}

	@Override
	public List<Member> members() {
		List<Member> members = new ArrayList<>();
		members.add(self());
		MemberTable known = this.table;
		if (known != null) {
			members.addAll(known.others());
		}
		members.sort(Comparator.comparing(Member::host));
		return members;
	}

	@Override
	public ClaimantAnswer ask(String host, long incarnation, String attempt) {
		PeerCaller peerCaller = this.caller;
		return (peerCaller != null) ? peerCaller.ask(host, incarnation, attempt) : ClaimantAnswer.UNKNOWN;
	}

	@Override
	public ContactResult heard(PeerIdentity sender, boolean senderLeaving, long revision) {
		MemberTable members = Objects.requireNonNull(this.table);
		ContactResult result = members.heard(sender, senderLeaving, revision);
		switch (result) {
			case NEW -> logger.info("Peer {} is heard in incarnation {}", sender.host(), sender.incarnation());
			case OLDER_INCARNATION, SAME_HOST -> logger.warn("A message of {} in incarnation {} is void: {}",
					sender.host(), sender.incarnation(), result);
			default -> {
			}
		}
		if (result == ContactResult.NEW || senderLeaving) {
			this.demand.liveHosts(members.liveHosts());
		}
		return result;
	}

	@Override
	public boolean isLeaving() {
		return this.leaving;
	}

	@Override
	public List<PeerIdentity> identities() {
		return Objects.requireNonNull(this.table).identities();
	}

	@Override
	public void close() {
		this.closer.close();
	}

	private PeerIdentity boundIdentity(int port) {
		PeerSettings peers = this.settings.peers();
		String address = (peers.advertisedAddress() != null) ? peers.advertisedAddress() : peers.address();
		int advertisedPort = (peers.advertisedPort() != null) ? peers.advertisedPort() : port;
		boolean wildcard = address.equals("0.0.0.0") || address.equals("::");
		return new PeerIdentity(this.identity.host(), this.identity.incarnation(), this.identity.failureDomain(),
				wildcard ? null : new PeerEndpoint(address, advertisedPort));
	}

	private void takeSeeds(MemberTable members) {
		this.settings.peers()
			.seeds()
			.forEach((seed) -> members.seed(seed.host(), new PeerEndpoint(seed.address(), seed.port())));
		String service = this.settings.platform().hostList().daemonService();
		this.hosts.watch(service);
		this.hosts.addListener((snapshot) -> members.list(listed(snapshot, service)));
		members.list(listed(this.hosts.current(), service));
	}

	private static Map<String, PeerEndpoint> listed(HostSnapshot snapshot, String service) {
		Map<String, PeerEndpoint> endpoints = new HashMap<>();
		snapshot.hosts(service)
			.forEach((host) -> endpoints.put(host.host(), new PeerEndpoint(host.address(), host.port())));
		return endpoints;
	}

	private void afterRound() {
		MemberTable members = Objects.requireNonNull(this.table);
		PeerCaller peerCaller = Objects.requireNonNull(this.caller);
		for (String host : members.forgetSilent()) {
			logger.info("Peer {} is forgotten after a long silence", host);
			peerCaller.forget(host);
		}
		this.demand.liveHosts(members.liveHosts());
		for (MemberState state : MemberState.values()) {
			this.metrics.members(state, members.others().stream().filter((member) -> member.state() == state).count());
		}
	}

}
