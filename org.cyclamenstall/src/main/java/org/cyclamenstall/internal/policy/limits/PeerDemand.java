package org.cyclamenstall.internal.policy.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.cyclamenstall.policy.DemandReport;

/**
 * Holds the reports of the other daemons and the last own one. A report older than
 * {@link #REPORT_LIFETIME_NANOS} counts as silence. Not thread-safe.
 */
public final class PeerDemand {

	/** The age at which a report counts no more, in nanoseconds. */
	public static final long REPORT_LIFETIME_NANOS = 4_000_000_000L;

	private final Map<String, Received> reports = new HashMap<>();

	private Set<String> liveHosts = Set.of();

	private DemandReport ownReport = DemandReport.NONE;

	private long version;

	/**
	 * Takes the report of another daemon.
	 * @param host its host
	 * @param report the report
	 * @param nowNanos the time on the monotonic clock
	 */
	public void received(String host, DemandReport report, long nowNanos) {
		this.reports.put(host, new Received(report, nowNanos));
		this.version++;
	}

	/**
	 * Takes the names of the live daemons, this one included.
	 * @param hosts the names of their hosts
	 */
	public void liveHosts(Set<String> hosts) {
		this.liveHosts = Set.copyOf(hosts);
		this.reports.keySet().retainAll(this.liveHosts);
		this.version++;
	}

	/**
	 * Takes the report that this daemon sends.
	 * @param report the report
	 */
	public void sent(DemandReport report) {
		this.ownReport = report;
		this.version++;
	}

	/**
	 * Returns a number that changes with each report.
	 * @return the number
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the demand on a limit.
	 * @param limit the name of the limit
	 * @param nowNanos the time on the monotonic clock
	 * @return the demand
	 */
	public FleetDemand demandOf(String limit, long nowNanos) {
		double peers = 0;
		int heard = 0;
		for (Received received : this.reports.values()) {
			if (isFresh(received, nowNanos)) {
				heard++;
				peers += received.report.demandByLimit().getOrDefault(limit, 0.0);
			}
		}
		int live = Math.max(this.liveHosts.size(), heard + 1);
		double own = this.ownReport.demandByLimit().getOrDefault(limit, 0.0);
		return new FleetDemand(own, peers, live - 1 - heard, live);
	}

	/**
	 * Returns the other daemons' requests in flight at an upstream.
	 * @param upstream its address and port
	 * @param nowNanos the time on the monotonic clock
	 * @return the count
	 */
	public int inFlight(String upstream, long nowNanos) {
		int count = 0;
		for (Received received : this.reports.values()) {
			if (isFresh(received, nowNanos)) {
				count += received.report.inFlightByUpstream().getOrDefault(upstream, 0);
			}
		}
		return count;
	}

	private static boolean isFresh(Received received, long nowNanos) {
		return nowNanos - received.atNanos < REPORT_LIFETIME_NANOS;
	}

	private record Received(DemandReport report, long atNanos) {

	}

}
