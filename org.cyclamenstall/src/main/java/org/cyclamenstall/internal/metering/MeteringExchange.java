package org.cyclamenstall.internal.metering;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.internal.kernel.PeriodicTask;
import org.cyclamenstall.internal.leadership.LeadershipService;
import org.cyclamenstall.internal.peers.DatagramEndpoint;
import org.cyclamenstall.internal.peers.load.LoadEndpoint;
import org.cyclamenstall.kernel.Service;
import org.cyclamenstall.kernel.SuspendAwareClock;
import org.cyclamenstall.leadership.Leader;
import org.jspecify.annotations.Nullable;

/**
 * Sends the counts of this daemon to the leader and its standbys in datagrams, and
 * receives those of the other daemons if it is one of them. As the leader it tells the
 * daemons that send to it the time and the standbys. Counts are cumulative and sent at
 * every interval, so a lost datagram only delays them. Thread-safe.
 */
public final class MeteringExchange implements Service {

	private static final Logger logger = LogManager.getLogger(MeteringExchange.class);

	private static final Duration INTERVAL = Duration.ofMillis(500);

	/** Times that the last counts are sent when the daemon shuts down. */
	private static final int LAST_SENDS = 3;

	private final LoadEndpoint self;

	private final long incarnation;

	private final LeadershipService leadership;

	private final LocalCounts localCounts;

	private final CollectedCounts collectedCounts;

	private final LocalEngineTime localEngineTime;

	private final CollectedEngineTime collectedEngineTime;

	private final FleetClock fleetClock;

	private final SuspendAwareClock clock;

	private final DatagramEndpoint endpoint;

	private final MeteringCodec codec = new MeteringCodec();

	/** Used by the receiving thread only. */
	private final MeteringCodec receivingCodec = new MeteringCodec();

	private final MeteringMembers members;

	/** Newest notice of a leader, or {@code null} before the first one. */
	private MeteringMessage.@Nullable Notice notice;

	private final PeriodicTask sender = new PeriodicTask("metering-sender", INTERVAL, this::exchange);

	/**
	 * Creates an exchange.
	 * @param settings the settings
	 * @param failureDomain the failure domain of this daemon
	 * @param incarnation the start time of this daemon, in milliseconds since the epoch
	 * @param leadership states who leads
	 * @param localCounts the counts of this daemon
	 * @param collectedCounts receives the counts of all daemons
	 * @param localEngineTime the engine time of the requests of this daemon
	 * @param collectedEngineTime receives the engine time of all daemons
	 * @param fleetClock the time on which the daemons agree
	 * @param clock the clock, which must include suspension
	 */
	public MeteringExchange(MeteringSettings settings, String failureDomain, long incarnation,
			LeadershipService leadership, LocalCounts localCounts, CollectedCounts collectedCounts,
			LocalEngineTime localEngineTime, CollectedEngineTime collectedEngineTime, FleetClock fleetClock,
			SuspendAwareClock clock) {
		this.endpoint = new DatagramEndpoint(settings.address());
		this.self = new LoadEndpoint(settings.address(), failureDomain);
		this.incarnation = incarnation;
		this.leadership = leadership;
		this.localCounts = localCounts;
		this.collectedCounts = collectedCounts;
		this.localEngineTime = localEngineTime;
		this.collectedEngineTime = collectedEngineTime;
		this.fleetClock = fleetClock;
		this.clock = clock;
		this.members = new MeteringMembers(this.self);
	}

	@Override
	public void start() {
		this.endpoint.open("metering-receiver", this::onDatagram);
		this.sender.start();
	}

	@Override
	public void close() {
		this.sender.close();
		for (int number = 0; number < LAST_SENDS; number++) {
			exchange();
		}
		this.endpoint.close();
	}

	private synchronized void exchange() {
		Map<Long, Map<String, Integer>> counts = this.localCounts.current();
		counts
			.forEach((window, byAccount) -> this.collectedCounts.merge(this.self, this.incarnation, window, byAccount));
		Map<String, Long> engineMillis = this.localEngineTime.millisByService();
		this.collectedEngineTime.record(this.self, this.incarnation, engineMillis);
		sendCounts(counts, engineMillis, collectors());
		if (this.leadership.token() != 0) {
			sendNotice();
		}
	}

	private Set<InetSocketAddress> collectors() {
		Set<InetSocketAddress> collectors = new LinkedHashSet<>();
		this.leadership.leader().map(MeteringExchange::addressOf).ifPresent(collectors::add);
		MeteringMessage.Notice currentNotice = this.notice;
		if (currentNotice != null) {
			currentNotice.standbys().forEach((standby) -> collectors.add(standby.address()));
		}
		collectors.remove(this.self.address());
		return collectors;
	}

	private static @Nullable InetSocketAddress addressOf(Leader leader) {
		int colon = leader.address().lastIndexOf(':');
		try {
			return new InetSocketAddress(leader.address().substring(0, colon),
					Integer.parseInt(leader.address().substring(colon + 1)));
		}
		catch (RuntimeException ex) {
			logger.warn("The address {} of the leader is malformed", leader.address(), ex);
			return null;
		}
	}

	private void sendNotice() {
		long nowNanos = this.clock.nanoTime();
		this.fleetClock.adoptMedian();
		MeteringMessage.Notice newNotice = new MeteringMessage.Notice(this.leadership.token(), this.fleetClock.millis(),
				this.members.standbys(nowNanos));
		this.notice = newNotice;
		byte[] datagram = this.codec.encode(new MeteringMessage(this.self, this.incarnation,
				this.fleetClock.wallMillis(), Map.of(), Map.of(), newNotice));
		this.members.current(nowNanos).forEach((member) -> this.endpoint.send(datagram, member.address()));
	}

	private void sendCounts(Map<Long, Map<String, Integer>> counts, Map<String, Long> engineMillis,
			Set<InetSocketAddress> receivers) {
		if (receivers.isEmpty()) {
			return;
		}
		byte[] datagram = this.codec.encode(new MeteringMessage(this.self, this.incarnation,
				this.fleetClock.wallMillis(), counts, engineMillis, null));
		if (datagram.length <= DatagramEndpoint.MAXIMUM_BYTES || isIndivisible(counts)) {
			receivers.forEach((receiver) -> this.endpoint.send(datagram, receiver));
			return;
		}
		split(counts).forEach((part) -> sendCounts(part, engineMillis, receivers));
	}

	private static boolean isIndivisible(Map<Long, Map<String, Integer>> counts) {
		return counts.size() == 1 && counts.values().iterator().next().size() <= 1;
	}

	// Halves the windows, or the accounts of a single window.
	private static List<Map<Long, Map<String, Integer>>> split(Map<Long, Map<String, Integer>> counts) {
		Map<Long, Map<String, Integer>> first = new HashMap<>();
		Map<Long, Map<String, Integer>> second = new HashMap<>();
		if (counts.size() > 1) {
			counts.forEach((window, byAccount) -> ((first.size() < counts.size() / 2) ? first : second).put(window,
					byAccount));
			return List.of(first, second);
		}
		counts.forEach((window, byAccount) -> {
			Map<String, Integer> firstAccounts = new HashMap<>();
			Map<String, Integer> secondAccounts = new HashMap<>();
			byAccount.forEach(
					(account, count) -> ((firstAccounts.size() < byAccount.size() / 2) ? firstAccounts : secondAccounts)
						.put(account, count));
			first.put(window, firstAccounts);
			second.put(window, secondAccounts);
		});
		return List.of(first, second);
	}

	private void onDatagram(byte[] buffer, int length) {
		MeteringMessage message = this.receivingCodec.decode(buffer, length);
		if (message != null) {
			onMessage(message);
		}
	}

	private synchronized void onMessage(MeteringMessage message) {
		MeteringMessage.Notice newNotice = message.notice();
		if (newNotice != null) {
			onNotice(newNotice);
			return;
		}
		this.fleetClock.record(message.sender(), message.timeMillis());
		this.members.recordHeard(message.sender(), this.clock.nanoTime());
		this.collectedEngineTime.record(message.sender(), message.incarnation(), message.engineMillis());
		message.windows()
			.forEach((window, counts) -> this.collectedCounts.merge(message.sender(), message.incarnation(), window,
					counts));
	}

	// A leader that was replaced may still send.
	private void onNotice(MeteringMessage.Notice newNotice) {
		if (this.leadership.token() != 0 || (this.notice != null && newNotice.token() < this.notice.token())) {
			return;
		}
		this.notice = newNotice;
		this.fleetClock.adopt(newNotice.timeMillis());
		this.leadership.setStandbyPosition(newNotice.standbys().indexOf(this.self));
	}

}
