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
 * Keeps the other daemons with their endpoints and their state. The incarnation of a host
 * only grows. Two failed exchanges in a row make a suspect and one message clears it. A
 * suspect is tried again at a lower rate and is forgotten after a long silence if neither
 * the platform nor the settings name it. Does no I/O. Thread-safe.
 */
public final class MemberTable {

	private static final int SUSPECT_PAUSE_EXCHANGES = 5;

	private static final long FORGET_SUSPECT_NANOS = TimeUnit.MINUTES.toNanos(10);

	private static final long FORGET_LEAVING_NANOS = TimeUnit.SECONDS.toNanos(30);

	private final PeerIdentity self;

	private final MonotonicClock clock;

	private final long suspectPauseNanos;

	private final Map<String, PeerRecord> records = new TreeMap<>();

	/**
	 * Creates a table that knows no other daemon.
	 * @param self this daemon
	 * @param exchangeMillis the pause between two exchanges with a peer, in milliseconds
	 * @param clock the clock
	 */
	public MemberTable(PeerIdentity self, int exchangeMillis, MonotonicClock clock) {
		this.self = self;
		this.clock = clock;
		this.suspectPauseNanos = TimeUnit.MILLISECONDS.toNanos((long) SUSPECT_PAUSE_EXCHANGES * exchangeMillis);
	}

	/**
	 * Adds a daemon that the settings name.
	 * @param host the name of its host
	 * @param endpoint where it listens
	 */
	public synchronized void seed(String host, PeerEndpoint endpoint) {
		addEndpoint(host, EndpointSource.SEEDED, endpoint);
	}

	/**
	 * Takes the daemons that the platform lists; replaces the earlier list.
	 * @param listed where each listens, by name of the host
	 */
	public synchronized void list(Map<String, PeerEndpoint> listed) {
		for (PeerRecord record : this.records.values()) {
			if (!listed.containsKey(record.host())) {
				record.setEndpoint(EndpointSource.LISTED, null);
			}
		}
		listed.forEach((host, endpoint) -> addEndpoint(host, EndpointSource.LISTED, endpoint));
	}

	/**
	 * Adds daemons that a peer names. What is known first-hand stays.
	 * @param identities the daemons
	 */
	public synchronized void hearsay(Collection<PeerIdentity> identities) {
		for (PeerIdentity identity : identities) {
			if (identity.endpoint() != null) {
				addEndpoint(identity.host(), EndpointSource.HEARSAY, identity.endpoint());
			}
		}
	}

	/**
	 * Takes a message that came from a daemon, as a request or as an answer.
	 * @param sender the sender
	 * @param leaving whether it says that it is shutting down
	 * @param revision its catalogue revision
	 * @return what the message means; it is void unless the sender is new or known
	 */
	public synchronized ContactResult heard(PeerIdentity sender, boolean leaving, long revision) {
		if (sender.host().equals(this.self.host())) {
			return (sender.incarnation() == this.self.incarnation()) ? ContactResult.SELF : ContactResult.SAME_HOST;
		}
		PeerRecord record = record(sender.host());
		if (sender.incarnation() < record.incarnation()) {
			return ContactResult.OLDER_INCARNATION;
		}
		boolean known = sender.incarnation() == record.incarnation();
		record.identify(sender);
		record.heard(this.clock.nanoTime(), leaving, revision);
		return known ? ContactResult.KNOWN : ContactResult.NEW;
	}

	/**
	 * Records that an exchange with a peer begins.
	 * @param host the name of its host
	 */
	public synchronized void tried(String host) {
		Optional.ofNullable(this.records.get(host)).ifPresent((record) -> record.tried(this.clock.nanoTime()));
	}

	/**
	 * Records that an exchange with a peer failed.
	 * @param host the name of its host
	 */
	public synchronized void failed(String host) {
		Optional.ofNullable(this.records.get(host)).ifPresent(PeerRecord::failed);
	}

	/**
	 * Returns the peers that answer, leaving ones included.
	 * @return the names of their hosts, ordered
	 */
	public synchronized List<String> answering() {
		return this.records.values()
			.stream()
			.filter((record) -> record.answersNow() && record.endpoint() != null)
			.map(PeerRecord::host)
			.toList();
	}

	/**
	 * Returns the suspects that are due to be tried again.
	 * @return the names of their hosts, ordered
	 */
	public synchronized List<String> suspectsDue() {
		long now = this.clock.nanoTime();
		return this.records.values()
			.stream()
			.filter((record) -> !record.answersNow() && record.endpoint() != null)
			.filter((record) -> record.sinceTriedNanos(now) >= this.suspectPauseNanos)
			.map(PeerRecord::host)
			.toList();
	}

	/**
	 * Returns where a peer listens. After a failure the next known endpoint is given.
	 * @param host the name of its host
	 * @return the endpoint, or empty if none is known
	 */
	public synchronized Optional<PeerEndpoint> endpoint(String host) {
		return Optional.ofNullable(this.records.get(host)).map(PeerRecord::endpoint);
	}

	/**
	 * Returns the catalogue revision that a peer last reported.
	 * @param host the name of its host
	 * @return the revision; zero if it never reported one
	 */
	public synchronized long catalogueRevision(String host) {
		return Optional.ofNullable(this.records.get(host)).map(PeerRecord::catalogueRevision).orElse(0L);
	}

	/**
	 * Returns the incarnation of a peer.
	 * @param host the name of its host
	 * @return the incarnation; zero if the peer was never heard
	 */
	public synchronized long incarnation(String host) {
		return Optional.ofNullable(this.records.get(host)).map(PeerRecord::incarnation).orElse(0L);
	}

	/**
	 * Returns the peers that were heard in person.
	 * @return their identities
	 */
	public synchronized List<PeerIdentity> identities() {
		return this.records.values()
			.stream()
			.flatMap((record) -> Optional.ofNullable(record.identity()).stream())
			.toList();
	}

	/**
	 * Returns the other daemons, those included that were never heard.
	 * @return the members, ordered by name of the host
	 */
	public synchronized List<Member> others() {
		return this.records.values().stream().map(PeerRecord::toMember).toList();
	}

	/**
	 * Returns the daemons among which fleet-wide limits are divided. These are the ones
	 * that answer, while they are more than half of all that do not leave. Otherwise this
	 * daemon may be the one that is cut off, and silent ones are counted as well, so that
	 * the two sides of a cut do not both take the whole of a limit.
	 * @return the names of their hosts, this one included
	 */
	public synchronized Set<String> liveHosts() {
		List<String> alive = hostsIn(MemberState.ALIVE);
		List<String> suspects = hostsIn(MemberState.SUSPECT);
		Set<String> live = new LinkedHashSet<>(alive);
		live.add(this.self.host());
		boolean majority = live.size() > suspects.size();
		if (!majority) {
			live.addAll(suspects);
		}
		return live;
	}

	/**
	 * Forgets the daemons that were silent for long. Of one that is listed or seeded the
	 * endpoints stay and only the incarnation is forgotten, so that a host whose clock
	 * was set back is heard again.
	 * @return the names of the hosts that are no longer known
	 */
	public synchronized List<String> forgetSilent() {
		long now = this.clock.nanoTime();
		List<String> forgotten = new ArrayList<>();
		for (PeerRecord record : List.copyOf(this.records.values())) {
			if (!isLongSilent(record, now)) {
				continue;
			}
			if (record.isListedOrSeeded()) {
				record.forgetIdentity();
			}
			else {
				this.records.remove(record.host());
				forgotten.add(record.host());
			}
		}
		return forgotten;
	}

	private static boolean isLongSilent(PeerRecord record, long now) {
		if (record.answersNow()) {
			return false;
		}
		long bound = (record.state() == MemberState.LEAVING) ? FORGET_LEAVING_NANOS : FORGET_SUSPECT_NANOS;
		return record.silenceNanos(now) >= bound;
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
			record(host).setEndpoint(source, endpoint);
		}
	}

	private PeerRecord record(String host) {
		return this.records.computeIfAbsent(host, (name) -> new PeerRecord(name, this.clock.nanoTime()));
	}

}
