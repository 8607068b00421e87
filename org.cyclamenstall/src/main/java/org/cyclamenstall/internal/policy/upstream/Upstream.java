package org.cyclamenstall.internal.policy.upstream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the state of one upstream as seen by this daemon: its own requests in flight,
 * the load reported by the upstream, the requests in flight of other daemons, and
 * observed latencies. In-flight counts are never negative. Not thread-safe: guarded by
 * the lock of the controller.
 */
public final class Upstream {

	private static final double AVERAGE_WEIGHT = 0.2;

	private static final long MAXIMUM_REPORT_AGE_NANOS = 10_000_000_000L;

	private static final double OVERDUE_FACTOR = 2;

	private final String key;

	private final Window window;

	private final Health health = new Health();

	private final MovingAverage firstTokenAverage = new MovingAverage(AVERAGE_WEIGHT);

	private final MovingAverage slotTimeAverage = new MovingAverage(AVERAGE_WEIGHT);

	private final Map<Object, Long> awaitingFirstToken = new LinkedHashMap<>();

	private final int[] inFlightByTier = new int[Tier.values().length];

	private ListedHost host;

	private int inFlight;

	private int peersInFlight;

	private int slots;

	private int reportedRunning;

	private long reportedAtNanos;

	private boolean hasReport;

	private int startedSinceReport;

	/** Attempt in flight that was started while the upstream was half-open. */
	private @Nullable Object probe;

	/**
	 * Creates an upstream without requests in flight.
	 * @param host the listed host
	 * @param window the limit of concurrent requests
	 * @param slots the number of slots to assume until the upstream reports its slots
	 */
	public Upstream(ListedHost host, Window window, int slots) {
		this.key = keyOf(host);
		this.host = host;
		this.window = window;
		this.slots = slots;
	}

	/**
	 * Returns the key that identifies an upstream in messages between daemons.
	 * @param host the listed host
	 * @return its address and port
	 */
	public static String keyOf(ListedHost host) {
		return host.address() + ":" + host.port();
	}

	/**
	 * Returns the key that identifies this upstream in messages between daemons.
	 * @return the address and port
	 */
	public String key() {
		return this.key;
	}

	/**
	 * Returns the host as last listed.
	 * @return the host
	 */
	public ListedHost host() {
		return this.host;
	}

	/**
	 * Updates the host after a change of the host list.
	 * @param newHost the listed host
	 */
	public void updateHost(ListedHost newHost) {
		if (newHost.state() == HostState.LIVE && this.host.state() == HostState.LEAVING) {
			this.health.recordRelisted();
		}
		this.host = newHost;
	}

	/**
	 * Returns the health of the upstream.
	 * @return the health
	 */
	public Health health() {
		return this.health;
	}

	/**
	 * Returns whether the upstream is available for new requests, regardless of ejection.
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} if it is listed as live and neither draining nor unreachable
	 */
	public boolean isLive(long nowNanos) {
		return this.host.state() == HostState.LIVE && !this.health.isUnavailable(nowNanos);
	}

	/**
	 * Returns whether the health of the upstream allows another request.
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} if it is live, neither unavailable nor ejected, and has no
	 * probe request in flight while it is half-open
	 */
	public boolean acceptsRequests(long nowNanos) {
		return this.host.state() == HostState.LIVE && this.health.acceptsRequests(nowNanos, this.probe != null);
	}

	/**
	 * Returns the total number of slots, shared by all daemons.
	 * @return the number of slots
	 */
	public int slots() {
		return this.slots;
	}

	/**
	 * Returns the maximum number of concurrent requests of this daemon.
	 * @return the window size
	 */
	public int windowSize() {
		return this.window.size(this.slots);
	}

	/**
	 * Returns the number of requests of this daemon in flight.
	 * @return the count
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the number of requests of this daemon in flight in a tier.
	 * @param tier the tier
	 * @return the count
	 */
	public int inFlight(Tier tier) {
		return this.inFlightByTier[tier.ordinal()];
	}

	/**
	 * Returns the number of requests of other daemons in flight, as last reported by
	 * them.
	 * @return the count
	 */
	public int peersInFlight() {
		return this.peersInFlight;
	}

	/**
	 * Sets the number of requests of other daemons in flight.
	 * @param count the count
	 */
	public void setPeersInFlight(int count) {
		this.peersInFlight = count;
	}

	/**
	 * Records the start of an attempt.
	 * @param attempt identifies the attempt
	 * @param tier its tier
	 * @param latencySample whether its time to the first token is recorded as a latency
	 * sample; {@code false} for a model response that is not streamed
	 * @param nowNanos the time on the monotonic clock
	 */
	public void recordStart(Object attempt, Tier tier, boolean latencySample, long nowNanos) {
		this.inFlight++;
		this.inFlightByTier[tier.ordinal()]++;
		this.startedSinceReport++;
		if (this.health.isHalfOpen()) {
			this.probe = attempt;
		}
		if (latencySample) {
			this.awaitingFirstToken.put(attempt, nowNanos);
		}
	}

	/**
	 * Records the first token of an attempt. Ignored unless the attempt was started as a
	 * latency sample.
	 * @param attempt identifies the attempt
	 * @param durationNanos the time since its start
	 */
	public void recordFirstToken(Object attempt, long durationNanos) {
		if (this.awaitingFirstToken.remove(attempt) != null) {
			this.firstTokenAverage.add(durationNanos);
			this.window.recordFirstToken(durationNanos, this.inFlight);
		}
	}

	/**
	 * Records the end of an attempt.
	 * @param attempt identifies the attempt
	 * @param tier its tier
	 * @param slotTimeNanos the time that it occupied its slot
	 */
	public void recordEnd(Object attempt, Tier tier, long slotTimeNanos) {
		this.awaitingFirstToken.remove(attempt);
		this.inFlight--;
		this.inFlightByTier[tier.ordinal()]--;
		this.slotTimeAverage.add(slotTimeNanos);
		if (this.probe == attempt) {
			this.probe = null;
		}
	}

	/**
	 * Returns the limit of concurrent requests of this daemon.
	 * @return the window
	 */
	public Window window() {
		return this.window;
	}

	/**
	 * Applies a load report of the upstream. Ignores reports that are not newer than the
	 * last one.
	 * @param running the number of its running requests
	 * @param reportedSlots the number of its slots, or zero to keep the known number
	 * @param ageNanos the age of the report
	 * @param nowNanos the time on the monotonic clock
	 */
	public void recordLoadReport(int running, int reportedSlots, long ageNanos, long nowNanos) {
		long newReportedAtNanos = nowNanos - ageNanos;
		if (this.hasReport && newReportedAtNanos - this.reportedAtNanos <= 0) {
			return;
		}
		this.hasReport = true;
		this.reportedAtNanos = newReportedAtNanos;
		this.reportedRunning = Math.max(0, running);
		this.slots = (reportedSlots > 0) ? reportedSlots : this.slots;
		this.startedSinceReport = 0;
	}

	/**
	 * Estimates the number of requests that currently run at the upstream.
	 * @param nowNanos the time on the monotonic clock
	 * @return the count
	 */
	public int estimatedLoad(long nowNanos) {
		int knownInFlight = this.inFlight + this.peersInFlight;
		boolean reportValid = this.hasReport && nowNanos - this.reportedAtNanos < MAXIMUM_REPORT_AGE_NANOS;
		return reportValid ? Math.max(knownInFlight, this.reportedRunning + this.startedSinceReport) : knownInFlight;
	}

	/**
	 * Returns the average time to the first token.
	 * @return the average in nanoseconds
	 */
	public MovingAverage firstTokenAverage() {
		return this.firstTokenAverage;
	}

	/**
	 * Returns how long the oldest latency sample has waited for its first token.
	 * @param nowNanos the time on the monotonic clock
	 * @return the wait in nanoseconds, or zero if no attempt waits
	 */
	public long longestFirstTokenWaitNanos(long nowNanos) {
		Iterator<Long> starts = this.awaitingFirstToken.values().iterator();
		return starts.hasNext() ? nowNanos - starts.next() : 0;
	}

	/**
	 * Estimates the time to the first token of a request that starts now.
	 * @param serviceLatency the recent times to the first token of the service
	 * @param nowNanos the time on the monotonic clock
	 * @return the estimate in nanoseconds
	 */
	public double expectedFirstTokenNanos(LatencyHistogram serviceLatency, long nowNanos) {
		double base = Math.max(1, this.firstTokenAverage.valueOr(serviceLatency.medianNanos()));
		double expected = base * (1 + (double) this.inFlight / this.slots);
		int queued = estimatedLoad(nowNanos) - this.slots + 1;
		if (queued > 0) {
			expected += this.slotTimeAverage.valueOr(base) * queued / this.slots;
		}
		long longestWaitNanos = longestFirstTokenWaitNanos(nowNanos);
		return (longestWaitNanos > serviceLatency.medianNanos()) ? Math.max(expected, OVERDUE_FACTOR * longestWaitNanos)
				: expected;
	}

}
