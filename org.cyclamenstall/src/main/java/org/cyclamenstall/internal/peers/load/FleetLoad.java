package org.cyclamenstall.internal.peers.load;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cyclamenstall.routes.RequestPriority;

/**
 * Holds the last load report of each other daemon, and the total for each upstream. A
 * report that is older than {@link #EXPIRY} no longer counts, so a daemon that is
 * partitioned or gone distorts the totals only for that time. Thread-safe.
 */
public final class FleetLoad {

	/** Age after which a report no longer counts. */
	public static final Duration EXPIRY = Duration.ofMillis(1_500);

	private final Map<LoadEndpoint, ReceivedReport> reports = new HashMap<>();

	private final Map<Long, Totals> totalsByUpstream = new HashMap<>();

	/**
	 * Replaces the last report of a daemon, unless the report is older.
	 * @param report the report
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code false} if the report is older than the last one
	 */
	public synchronized boolean record(LoadReport report, long nowNanos) {
		ReceivedReport previous = this.reports.get(report.sender());
		if (previous != null && !report.leaving() && !previous.isFollowedBy(report)) {
			return false;
		}
		if (previous != null) {
			add(previous.report().loads(), -1);
		}
		if (report.leaving()) {
			this.reports.remove(report.sender());
			return true;
		}
		this.reports.put(report.sender(), new ReceivedReport(report, nowNanos));
		add(report.loads(), 1);
		return true;
	}

	/**
	 * Removes the reports that are too old.
	 * @param nowNanos the time on the monotonic clock
	 */
	public synchronized void removeExpired(long nowNanos) {
		this.reports.values().removeIf((received) -> {
			boolean expired = nowNanos - received.receivedAtNanos() > EXPIRY.toNanos();
			if (expired) {
				add(received.report().loads(), -1);
			}
			return expired;
		});
	}

	/**
	 * Returns the number of daemons whose load is known, including this one.
	 * @return the number
	 */
	public synchronized int daemonCount() {
		return this.reports.size() + 1;
	}

	/**
	 * Returns whether the load of any other daemon is known.
	 * @return {@code false} if this daemon knows only its own load
	 */
	public synchronized boolean isKnown() {
		return !this.reports.isEmpty();
	}

	/**
	 * Returns the number of requests that the other daemons have at an upstream.
	 * @param upstreamKey the key of the upstream
	 * @return the number
	 */
	public synchronized int running(long upstreamKey) {
		Totals totals = this.totalsByUpstream.get(upstreamKey);
		return (totals != null) ? totals.running : 0;
	}

	/**
	 * Returns the number of latency-sensitive streams that the other daemons have at an
	 * upstream.
	 * @param upstreamKey the key of the upstream
	 * @return the number
	 */
	public synchronized int latencySensitive(long upstreamKey) {
		Totals totals = this.totalsByUpstream.get(upstreamKey);
		return (totals != null) ? totals.latencySensitive : 0;
	}

	/**
	 * Returns the prompt tokens that the other daemons have pending at an upstream.
	 * @param upstreamKey the key of the upstream
	 * @param lowestPriority the lowest priority level to count
	 * @return the number of tokens
	 */
	public synchronized long pendingTokens(long upstreamKey, int lowestPriority) {
		Totals totals = this.totalsByUpstream.get(upstreamKey);
		return (totals != null) ? Arrays.stream(totals.pendingTokens, 0, lowestPriority + 1).sum() : 0;
	}

	private void add(List<UpstreamLoad> loads, int sign) {
		for (UpstreamLoad load : loads) {
			Totals totals = this.totalsByUpstream.computeIfAbsent(load.upstreamKey(), (key) -> new Totals());
			totals.running += sign * load.running();
			totals.latencySensitive += sign * load.latencySensitive();
			for (int priority = 0; priority < load.pendingTokens().length; priority++) {
				totals.pendingTokens[priority] += (long) sign * load.pendingTokens()[priority];
			}
			totals.reports += sign;
			if (totals.reports == 0) {
				this.totalsByUpstream.remove(load.upstreamKey());
			}
		}
	}

	private record ReceivedReport(LoadReport report, long receivedAtNanos) {

		boolean isFollowedBy(LoadReport next) {
			return (next.incarnation() != this.report.incarnation()) ? next.incarnation() > this.report.incarnation()
					: next.sequence() > this.report.sequence();
		}

	}

	private static final class Totals {

		private final long[] pendingTokens = new long[RequestPriority.LOWEST + 1];

		private int running;

		private int latencySensitive;

		private int reports;

	}

}
