package org.cyclamenstall.internal.policy.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.cyclamenstall.policy.DemandReport;
import org.jspecify.annotations.Nullable;

/**
 * Holds the last own report and the sums of the other daemons' reports. A report older
 * than {@link #REPORT_LIFETIME_NANOS} counts as silence once {@link #expire} was called.
 * Not thread-safe: the controller's lock guards it.
 */
public final class PeerDemand {

	/** The age at which a report counts no more, in nanoseconds. */
	public static final long REPORT_LIFETIME_NANOS = 4_000_000_000L;

	private static final double NOTHING = 1e-6;

	private final Map<String, Received> reports = new HashMap<>();

	private final Map<String, Double> demandSums = new HashMap<>();

	private final Map<String, Integer> inFlightSums = new HashMap<>();

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
		forget(host);
		this.reports.put(host, new Received(report, nowNanos));
		add(report, 1);
		this.version++;
	}

	/**
	 * Takes the names of the live daemons, this one included.
	 * @param hosts the names of their hosts
	 */
	public void liveHosts(Set<String> hosts) {
		this.liveHosts = Set.copyOf(hosts);
		for (String host : List.copyOf(this.reports.keySet())) {
			if (!this.liveHosts.contains(host)) {
				forget(host);
			}
		}
		this.version++;
	}

	/**
	 * Forgets old reports.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void expire(long nowNanos) {
		List<String> old = new ArrayList<>();
		this.reports.forEach((host, received) -> {
			if (nowNanos - received.atNanos >= REPORT_LIFETIME_NANOS) {
				old.add(host);
			}
		});
		old.forEach(this::forget);
		this.version += old.size();
	}

	private void forget(String host) {
		@Nullable Received earlier = this.reports.remove(host);
		if (earlier != null) {
			add(earlier.report, -1);
		}
	}

	private void add(DemandReport report, int sign) {
		report.demandByLimit().forEach((limit, demand) -> {
			double sum = this.demandSums.merge(limit, sign * demand, Double::sum);
			if (sum < NOTHING) {
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
	 * @return the demand
	 */
	public FleetDemand demandOf(String limit) {
		int heard = this.reports.size();
		int live = Math.max(this.liveHosts.size(), heard + 1);
		double own = this.ownReport.demandByLimit().getOrDefault(limit, 0.0);
		return new FleetDemand(own, this.demandSums.getOrDefault(limit, 0.0), live - 1 - heard, live);
	}

	/**
	 * Returns the other daemons' requests in flight at an upstream.
	 * @param upstream its address and port
	 * @return the count
	 */
	public int inFlight(String upstream) {
		return this.inFlightSums.getOrDefault(upstream, 0);
	}

	private record Received(DemandReport report, long atNanos) {

	}

}
