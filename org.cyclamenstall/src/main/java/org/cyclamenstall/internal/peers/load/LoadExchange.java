package org.cyclamenstall.internal.peers.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.internal.peers.DatagramEndpoint;
import org.cyclamenstall.internal.policy.quarantine.PromptQuarantine;
import org.cyclamenstall.internal.policy.quarantine.QuarantineReport;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.kernel.Service;

/**
 * Sends the load of this daemon to the other daemons in datagrams, and receives theirs.
 * Reports are hints for placement: a lost or late one makes placement less exact, and a
 * daemon that receives none places by its own load. The interval grows with the number of
 * daemons, so that the number of datagrams of one daemon is bounded. Thread-safe: the
 * members and the reports to relay are guarded by the monitor of the members.
 */
public final class LoadExchange implements Service {

	private static final Logger logger = LogManager.getLogger(LoadExchange.class);

	private static final long MINIMUM_INTERVAL_MILLIS = 100;

	/** Interval of reports per daemon, which bounds the datagrams of each daemon. */
	private static final long INTERVAL_MILLIS_PER_MEMBER = 5;

	/** Time after which a report is sent although nothing has changed. */
	private static final long HEARTBEAT_MILLIS = 500;

	private final LoadEndpoint self;

	private final long incarnation;

	private final Supplier<List<UpstreamLoad>> localLoads;

	private final FleetLoad fleetLoad;

	private final PromptQuarantine quarantine;

	private final MonotonicClock clock;

	private final LoadMembers members;

	private final DatagramEndpoint endpoint;

	private final LoadReportCodec codec = new LoadReportCodec();

	/** Used by the receiving thread only. */
	private final LoadReportCodec receivingCodec = new LoadReportCodec();

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "load-exchange");
		thread.setDaemon(true);
		return thread;
	});

	private final Map<LoadEndpoint, HeldReport> reportsToRelay = new HashMap<>();

	private final PauseDetector pauseDetector;

	private volatile int memberCount = 1;

	private long sequence;

	private boolean lastReportEmpty;

	private long lastHeartbeatAtNanos;

	/**
	 * Creates an exchange.
	 * @param settings the settings
	 * @param failureDomain the failure domain of this daemon
	 * @param incarnation the start time of this daemon, in milliseconds since the epoch
	 * @param localLoads returns the load of this daemon
	 * @param fleetLoad receives the load of the other daemons
	 * @param quarantine provides what this daemon knows of prompt parts that crash
	 * upstreams, and receives what the others know
	 * @param clock the monotonic clock
	 * @param random selects the daemons that relay reports
	 */
	public LoadExchange(LoadExchangeSettings settings, String failureDomain, long incarnation,
			Supplier<List<UpstreamLoad>> localLoads, FleetLoad fleetLoad, PromptQuarantine quarantine,
			MonotonicClock clock, UniformRandomProvider random) {
		this.endpoint = new DatagramEndpoint(settings.address());
		this.self = new LoadEndpoint(settings.address(), failureDomain);
		this.incarnation = incarnation;
		this.localLoads = localLoads;
		this.fleetLoad = fleetLoad;
		this.quarantine = quarantine;
		this.clock = clock;
		this.pauseDetector = new PauseDetector(clock.nanoTime());
		this.members = new LoadMembers(this.self,
				settings.seeds().stream().map((seed) -> new LoadEndpoint(seed, "")).toList(), random);
	}

	@Override
	public void start() {
		this.endpoint.open("load-receiver", this::onDatagram);
		this.executor.execute(this::sendReportAndReschedule);
	}

	/**
	 * Returns the number of daemons that exchange reports, including this one.
	 * @return the number
	 */
	public int memberCount() {
		return this.memberCount;
	}

	@Override
	public void close() {
		this.executor.execute(() -> {
			sendFarewell();
			this.endpoint.close();
		});
		this.executor.shutdown();
	}

	private void sendFarewell() {
		synchronized (this.members) {
			LoadReport farewell = new LoadReport(this.self, this.incarnation, ++this.sequence, List.of(), List.of(),
					false, true);
			send(this.members.directReceivers(this.clock.nanoTime()), List.of(farewell));
			send(this.members.relayReceivers(), List.of(farewell.withRelay(true)));
		}
	}

	private void sendReportAndReschedule() {
		try {
			sendReport();
		}
		catch (RuntimeException | Error ex) {
			logger.error("Could not report the load", ex);
		}
		finally {
			reschedule();
		}
	}

	private void reschedule() {
		try {
			this.executor.schedule(this::sendReportAndReschedule, intervalMillis(), TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			logger.debug("Stopped reporting the load: the daemon shuts down");
		}
	}

	private long intervalMillis() {
		return Math.max(MINIMUM_INTERVAL_MILLIS, INTERVAL_MILLIS_PER_MEMBER * this.memberCount);
	}

	private void sendReport() {
		List<UpstreamLoad> loads = this.localLoads.get();
		long nowNanos = this.clock.nanoTime();
		this.pauseDetector.recordActivity(nowNanos, Duration.ofMillis(intervalMillis()));
		QuarantineReport quarantineReport = this.quarantine.createReport(nowNanos);
		this.fleetLoad.removeExpired(nowNanos);
		synchronized (this.members) {
			this.members.removeExpired(nowNanos);
			this.memberCount = this.members.size();
			sendReport(loads, quarantineReport, nowNanos);
		}
	}

	private void sendReport(List<UpstreamLoad> loads, QuarantineReport quarantineReport, long nowNanos) {
		boolean heartbeatDue = nowNanos - this.lastHeartbeatAtNanos >= TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_MILLIS);
		boolean empty = loads.isEmpty() && quarantineReport.isEmpty();
		boolean nothingNew = empty && this.lastReportEmpty && !heartbeatDue;
		this.lastReportEmpty = empty;
		List<LoadReport> reports = new ArrayList<>();
		this.reportsToRelay.values().forEach((held) -> reports.add(held.relayedAt(nowNanos)));
		this.reportsToRelay.clear();
		if (!nothingNew) {
			List<LoadEndpoint> namedMembers = heartbeatDue ? this.members.namedMembers() : List.of();
			this.lastHeartbeatAtNanos = heartbeatDue ? nowNanos : this.lastHeartbeatAtNanos;
			LoadReport report = new LoadReport(this.self, this.incarnation, ++this.sequence, loads, namedMembers, false,
					false, quarantineReport);
			reports.add(report);
			send(this.members.relayReceivers(), List.of(report.withRelay(true)));
		}
		if (!reports.isEmpty()) {
			send(this.members.directReceivers(nowNanos), reports);
		}
	}

	private void send(Collection<LoadEndpoint> receivers, List<LoadReport> reports) {
		if (receivers.isEmpty()) {
			return;
		}
		byte[] bytes = this.codec.encode(reports);
		if (bytes.length > DatagramEndpoint.MAXIMUM_BYTES && reports.size() > 1) {
			int half = reports.size() / 2;
			send(receivers, reports.subList(0, half));
			send(receivers, reports.subList(half, reports.size()));
			return;
		}
		receivers.forEach((receiver) -> this.endpoint.send(bytes, receiver.address()));
	}

	private void onDatagram(byte[] buffer, int length) {
		this.receivingCodec.decode(buffer, length).forEach(this::onReport);
	}

	private void onReport(LoadReport report) {
		long nowNanos = this.clock.nanoTime();
		if (report.sender().equals(this.self) || !this.fleetLoad.record(report, nowNanos)) {
			return;
		}
		if (this.pauseDetector.isTrusted(nowNanos, Duration.ofMillis(intervalMillis()))) {
			this.quarantine.merge(report.quarantine(), nowNanos);
		}
		synchronized (this.members) {
			this.members.recordReport(report, nowNanos);
			if (report.relay()) {
				this.reportsToRelay.put(report.sender(), new HeldReport(report, nowNanos));
			}
		}
	}

	/**
	 * Report of another daemon that waits to be relayed.
	 *
	 * @param report the report
	 * @param receivedAtNanos the time on the monotonic clock
	 */
	private record HeldReport(LoadReport report, long receivedAtNanos) {

		LoadReport relayedAt(long nowNanos) {
			return this.report.relayedAfter(TimeUnit.NANOSECONDS.toMillis(nowNanos - this.receivedAtNanos) + 1);
		}

	}

}
