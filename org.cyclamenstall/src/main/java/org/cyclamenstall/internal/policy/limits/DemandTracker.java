package org.cyclamenstall.internal.policy.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.cyclamenstall.policy.DemandReport;
import org.jspecify.annotations.Nullable;

/**
 * Aggregates the demand reports of all daemons. Reports older than
 * {@link #REPORT_LIFETIME_NANOS} are discarded by {@link #expire}. Not thread-safe:
 * guarded by the controller's lock.
 */
public final class DemandTracker {

	/** Age at which a report expires, in nanoseconds. */
	public static final long REPORT_LIFETIME_NANOS = 4_000_000_000L;

	/** Sums below this value are treated as rounding errors and removed. */
	private static final double NEGLIGIBLE_DEMAND = 1e-6;

	private final Map<String, ReceivedReport> reports = new HashMap<>();

	private final Map<String, Double> demandSums = new HashMap<>();

	private final Map<String, Integer> inFlightSums = new HashMap<>();

	private Set<String> hostsSharingLimits = Set.of();

	private DemandReport ownReport = DemandReport.NONE;

	private long version;

	/**
	 * Stores the report of another daemon, replacing its previous one.
	 * @param host the host name of the daemon
	 * @param report the report
	 * @param nowNanos the time on the monotonic clock
	 */
	public void updateReport(String host, DemandReport report, long nowNanos) {
		removeReport(host);
		this.reports.put(host, new ReceivedReport(report, nowNanos));
		add(report, 1);
		this.version++;
	}

	/**
	 * Updates the set of daemons that share the limits and discards the reports of all
	 * others.
	 * @param hosts the host names of the daemons, including this one
	 */
	public void updateHostsSharingLimits(Set<String> hosts) {
		this.hostsSharingLimits = Set.copyOf(hosts);
		for (String host : List.copyOf(this.reports.keySet())) {
			if (!this.hostsSharingLimits.contains(host)) {
				removeReport(host);
			}
		}
		this.version++;
	}

	/**
	 * Discards expired reports.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void expire(long nowNanos) {
		List<String> expired = new ArrayList<>();
		this.reports.forEach((host, received) -> {
			if (nowNanos - received.receivedAtNanos >= REPORT_LIFETIME_NANOS) {
				expired.add(host);
			}
		});
		expired.forEach(this::removeReport);
		this.version += expired.size();
	}

	private void removeReport(String host) {
		@Nullable ReceivedReport previous = this.reports.remove(host);
		if (previous != null) {
			add(previous.report, -1);
		}
	}

	private void add(DemandReport report, int sign) {
		report.demandByLimit().forEach((limit, demand) -> {
			double sum = this.demandSums.merge(limit, sign * demand, Double::sum);
			if (sum < NEGLIGIBLE_DEMAND) {
				this.demandSums.remove(limit);
			}
		});
		report.inFlightByUpstream().forEach((upstream, count) -> {
			int sum = this.inFlightSums.merge(upstream, sign * count, Integer::sum);
			if (sum == 0) {
				this.inFlightSums.remove(upstream);
			}
		});
	}

	/**
	 * Stores the report that this daemon sends to the others.
	 * @param report the report
	 */
	public void updateOwnReport(DemandReport report) {
		this.ownReport = report;
		this.version++;
	}

	/**
	 * Returns a version number that changes whenever the result of {@link #demandOf} may
	 * change.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the fleet-wide demand on a limit.
	 * @param limit the name of the limit
	 * @return the demand
	 */
	public FleetDemand demandOf(String limit) {
		int reportingHosts = this.reports.size();
		int sharingHostCount = Math.max(this.hostsSharingLimits.size(), reportingHosts + 1);
		double own = this.ownReport.demandByLimit().getOrDefault(limit, 0.0);
		return new FleetDemand(own, this.demandSums.getOrDefault(limit, 0.0), sharingHostCount - 1 - reportingHosts,
				sharingHostCount);
	}

	/**
	 * Returns the number of requests that other daemons have in flight at an upstream.
	 * @param upstream the address and port of the upstream
	 * @return the count
	 */
	public int peersInFlight(String upstream) {
		return this.inFlightSums.getOrDefault(upstream, 0);
	}

	private record ReceivedReport(DemandReport report, long receivedAtNanos) {

	}

}
