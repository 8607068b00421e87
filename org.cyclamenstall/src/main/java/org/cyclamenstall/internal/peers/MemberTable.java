package org.cyclamenstall.internal.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;

/**
 * Keeps the endpoints and states of the other daemons. Messages of an older incarnation
 * of a host are ignored. A daemon becomes a suspect after two consecutive failed
 * exchanges, until the next message from it. Unreachable daemons are contacted at a lower
 * rate, and are removed after an expiry period unless the platform lists them or the
 * settings name them as seeds. Performs no I/O. Thread-safe.
 */
public final class MemberTable {

	private static final int UNREACHABLE_RETRY_ROUNDS = 5;

	private static final long SUSPECT_EXPIRY_NANOS = TimeUnit.MINUTES.toNanos(10);

	private static final long LEAVING_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(30);

	private final PeerIdentity self;

	private final MonotonicClock clock;

	private final long retryDelayNanos;

	private final Map<String, PeerRecord> records = new TreeMap<>();

	/**
	 * Creates an empty table.
	 * @param self this daemon
	 * @param roundDelayMillis the delay between two rounds of exchanges, in milliseconds
	 * @param clock the clock
	 */
	public MemberTable(PeerIdentity self, int roundDelayMillis, MonotonicClock clock) {
		this.self = self;
		this.clock = clock;
		this.retryDelayNanos = TimeUnit.MILLISECONDS.toNanos((long) UNREACHABLE_RETRY_ROUNDS * roundDelayMillis);
	}

	/**
	 * Adds a daemon that is configured as a seed.
	 * @param host the host name of the peer
	 * @param endpoint its endpoint
	 */
	public synchronized void addSeed(String host, PeerEndpoint endpoint) {
		addEndpoint(host, EndpointSource.SEED, endpoint);
	}

	/**
	 * Replaces the endpoints that come from the platform's host list.
	 * @param endpoints the endpoints by host name
	 */
	public synchronized void setListedEndpoints(Map<String, PeerEndpoint> endpoints) {
		for (PeerRecord record : this.records.values()) {
			if (!endpoints.containsKey(record.host())) {
				record.setEndpoint(EndpointSource.LISTED, null);
			}
		}
		endpoints.forEach((host, endpoint) -> addEndpoint(host, EndpointSource.LISTED, endpoint));
	}

	/**
	 * Adds the endpoints of daemons that were reported by a peer. Endpoints from other
	 * sources are preferred.
	 * @param identities the reported daemons
	 */
	public synchronized void addGossipedPeers(Collection<PeerIdentity> identities) {
		for (PeerIdentity identity : identities) {
			if (identity.endpoint() != null) {
				addEndpoint(identity.host(), EndpointSource.GOSSIP, identity.endpoint());
			}
		}
	}

	/**
	 * Records a request or response that was received from another daemon, unless its
	 * sender is rejected.
	 * @param sender the sender
	 * @param leaving whether the sender is shutting down
	 * @param revision the catalogue revision of the sender
	 * @return the result of the sender check; only {@link SenderCheckResult#NEW} and
	 * {@link SenderCheckResult#KNOWN} senders are recorded
	 */
	public synchronized SenderCheckResult recordMessage(PeerIdentity sender, boolean leaving, long revision) {
		if (sender.host().equals(this.self.host())) {
			return (sender.incarnation() == this.self.incarnation()) ? SenderCheckResult.SELF
					: SenderCheckResult.SAME_HOST;
		}
		PeerRecord record = getOrCreateRecord(sender.host());
		if (sender.incarnation() < record.incarnation()) {
			return SenderCheckResult.OLDER_INCARNATION;
		}
		boolean known = sender.incarnation() == record.incarnation();
		record.setIdentity(sender);
		record.recordMessage(this.clock.nanoTime(), leaving, revision);
		return known ? SenderCheckResult.KNOWN : SenderCheckResult.NEW;
	}

	/**
	 * Records that an exchange with a peer was started.
	 * @param host the host name of the peer
	 */
	public synchronized void recordExchangeStart(String host) {
		Optional.ofNullable(this.records.get(host))
			.ifPresent((record) -> record.recordExchangeStart(this.clock.nanoTime()));
	}

	/**
	 * Records that an exchange with a peer failed.
	 * @param host the host name of the peer
	 */
	public synchronized void recordExchangeFailure(String host) {
		Optional.ofNullable(this.records.get(host)).ifPresent(PeerRecord::recordExchangeFailure);
	}

	/**
	 * Returns the peers with a known endpoint and fewer than two consecutive failed
	 * exchanges, including those that are leaving.
	 * @return their host names, sorted
	 */
	public synchronized List<String> reachableHosts() {
		return this.records.values()
			.stream()
			.filter((record) -> record.isReachable() && record.endpoint() != null)
			.map(PeerRecord::host)
			.toList();
	}

	/**
	 * Returns the unreachable peers with a known endpoint that are due for another
	 * exchange.
	 * @return their host names, sorted
	 */
	public synchronized List<String> hostsToRetry() {
		long nowNanos = this.clock.nanoTime();
		return this.records.values()
			.stream()
			.filter((record) -> !record.isReachable() && record.endpoint() != null)
			.filter((record) -> record.nanosSinceLastExchange(nowNanos) >= this.retryDelayNanos)
			.map(PeerRecord::host)
			.toList();
	}

	/**
	 * Returns the endpoint to contact a peer at. Each failed exchange switches to the
	 * next known endpoint, and a message from the peer back to the most preferred one.
	 * @param host the host name of the peer
	 * @return the endpoint; empty if none is known
	 */
	public synchronized Optional<PeerEndpoint> endpoint(String host) {
		return Optional.ofNullable(this.records.get(host)).map(PeerRecord::endpoint);
	}

	/**
	 * Returns the highest catalogue revision reported by the current incarnation of a
	 * peer.
	 * @param host the host name of the peer
	 * @return the revision; zero if none was reported
	 */
	public synchronized long catalogueRevision(String host) {
		return Optional.ofNullable(this.records.get(host)).map(PeerRecord::catalogueRevision).orElse(0L);
	}

	/**
	 * Returns the incarnation of a peer.
	 * @param host the host name of the peer
	 * @return the incarnation; zero if no message from the peer was received
	 */
	public synchronized long incarnation(String host) {
		return Optional.ofNullable(this.records.get(host)).map(PeerRecord::incarnation).orElse(0L);
	}

	/**
	 * Returns the peers from which a message was received.
	 * @return their identities
	 */
	public synchronized List<PeerIdentity> identities() {
		return this.records.values()
			.stream()
			.flatMap((record) -> Optional.ofNullable(record.identity()).stream())
			.toList();
	}

	/**
	 * Returns the other daemons, including those from which no message was received.
	 * @return the members, sorted by host name
	 */
	public synchronized List<Member> otherMembers() {
		return this.records.values().stream().map(PeerRecord::toMember).toList();
	}

	/**
	 * Returns the daemons that share the fleet-wide limits. These are the alive ones, as
	 * long as they are more than half of all daemons that are not leaving. Otherwise this
	 * daemon may be in the minority partition of a network split, and suspects are
	 * included, so that the two partitions do not both use a limit in full.
	 * @return their host names, including this host
	 */
	public synchronized Set<String> hostsSharingLimits() {
		List<String> alive = hostsIn(MemberState.ALIVE);
		List<String> suspects = hostsIn(MemberState.SUSPECT);
		Set<String> hosts = new LinkedHashSet<>(alive);
		hosts.add(this.self.host());
		boolean hasMajority = hosts.size() > suspects.size();
		if (!hasMajority) {
			hosts.addAll(suspects);
		}
		return hosts;
	}

	/**
	 * Removes the unreachable daemons that have sent no message for the expiry period. A
	 * daemon that is listed or a seed keeps its endpoints and only its identity is
	 * cleared, so that a host whose clock was set back is accepted again with a lower
	 * incarnation.
	 * @return the host names of the removed daemons
	 */
	public synchronized List<String> removeExpired() {
		long nowNanos = this.clock.nanoTime();
		List<String> removed = new ArrayList<>();
		for (PeerRecord record : List.copyOf(this.records.values())) {
			if (!isExpired(record, nowNanos)) {
				continue;
			}
			if (record.isListedOrSeed()) {
				record.clearIdentity();
			}
			else {
				this.records.remove(record.host());
				removed.add(record.host());
			}
		}
		return removed;
	}

	private static boolean isExpired(PeerRecord record, long nowNanos) {
		if (record.isReachable()) {
			return false;
		}
		long expiryNanos = (record.state() == MemberState.LEAVING) ? LEAVING_EXPIRY_NANOS : SUSPECT_EXPIRY_NANOS;
		return record.nanosSinceLastMessage(nowNanos) >= expiryNanos;
	}

	private List<String> hostsIn(MemberState state) {
		return this.records.values()
			.stream()
			.filter((record) -> record.state() == state)
			.map(PeerRecord::host)
			.toList();
	}

	private void addEndpoint(String host, EndpointSource source, PeerEndpoint endpoint) {
		if (!host.equals(this.self.host())) {
			getOrCreateRecord(host).setEndpoint(source, endpoint);
		}
	}

	private PeerRecord getOrCreateRecord(String host) {
		return this.records.computeIfAbsent(host, (newHost) -> new PeerRecord(newHost, this.clock.nanoTime()));
	}

}
