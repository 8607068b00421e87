package org.cyclamenstall.internal.policy.upstream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.jspecify.annotations.Nullable;

/**
 * Holds what this daemon knows of one upstream: its own requests in flight, the load that
 * the upstream reported, the peers' requests, and the times seen. In-flight counts are
 * never negative. Not thread-safe: the controller's lock guards it.
 */
public final class Upstream {

	private static final double AVERAGE_WEIGHT = 0.2;

	private static final long REPORT_LIFETIME_NANOS = 10_000_000_000L;

	private static final double OVERDUE_WEIGHT = 2;

	private final String key;

	private final Window window;

	private final Health health = new Health();

	private final MovingAverage firstToken = new MovingAverage(AVERAGE_WEIGHT);

	private final MovingAverage occupancy = new MovingAverage(AVERAGE_WEIGHT);

	private final Map<Object, Long> awaitingFirstToken = new LinkedHashMap<>();

	private final int[] inFlightByTier = new int[Tier.values().length];

	private ListedHost host;

	private int inFlight;

	private int peersInFlight;

	private int slots;

	private int reportedRunning;

	private long reportedAtNanos;

	private boolean reported;

	private int startedSinceReport;

	private @Nullable Object probe;

	/**
	 * Creates an upstream without requests.
	 * @param host the listed host
	 * @param window the bound on concurrent requests
	 * @param slots its slots until it reports them
	 */
	public Upstream(ListedHost host, Window window, int slots) {
		this.key = keyOf(host);
		this.host = host;
		this.window = window;
		this.slots = slots;
	}

	/**
	 * Returns the name of an upstream in the exchange among peers.
	 * @param host the listed host
	 * @return its address and port
	 */
	public static String keyOf(ListedHost host) {
		return host.address() + ":" + host.port();
	}

	/**
	 * Returns the name in the exchange among peers.
	 * @return the address and port
	 */
	public String key() {
		return this.key;
	}

	/**
	 * Returns the listed host.
	 * @return the host
	 */
	public ListedHost host() {
		return this.host;
	}

	/**
	 * Takes a newer line of the host list.
	 * @param listed the listed host
	 */
	public void listed(ListedHost listed) {
		if (listed.state() == HostState.LIVE && this.host.state() == HostState.LEAVING) {
			this.health.relisted();
		}
		this.host = listed;
	}

	/**
	 * Returns the health.
	 * @return the health
	 */
	public Health health() {
		return this.health;
	}

	/**
	 * Returns whether the upstream may take new work at all.
	 * @param nowNanos the time on the monotonic clock
	 * @return whether it is listed as live, does not drain and is reachable
	 */
	public boolean isLive(long nowNanos) {
		return this.host.state() == HostState.LIVE && !this.health.isClosed(nowNanos);
	}

	/**
	 * Returns whether the upstream may take another request as far as its health goes.
	 * @param nowNanos the time on the monotonic clock
	 * @return whether it is live and neither ejected nor already probed
	 */
	public boolean acceptsWork(long nowNanos) {
		return this.host.state() == HostState.LIVE && this.health.acceptsWork(nowNanos, this.probe != null);
	}

	/**
	 * Returns the slots that the upstream has for all daemons.
	 * @return the slots
	 */
	public int slots() {
		return this.slots;
	}

	/**
	 * Returns the bound on this daemon's concurrent requests.
	 * @return the window
	 */
	public int windowSize() {
		return this.window.size(this.slots);
	}

	/**
	 * Returns this daemon's requests in flight.
	 * @return the count
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns this daemon's requests in flight of a tier.
	 * @param tier the tier
	 * @return the count
	 */
	public int inFlight(Tier tier) {
		return this.inFlightByTier[tier.ordinal()];
	}

	/**
	 * Returns the other daemons' requests in flight, as they last reported.
	 * @return the count
	 */
	public int peersInFlight() {
		return this.peersInFlight;
	}

	/**
	 * Takes the other daemons' requests in flight.
	 * @param count the count
	 */
	public void peersInFlight(int count) {
		this.peersInFlight = count;
	}

	/**
	 * Counts a request that starts.
	 * @param attempt identifies the attempt
	 * @param tier its tier
	 * @param timed whether its first byte tells the upstream's speed
	 * @param nowNanos the time on the monotonic clock
	 */
	public void started(Object attempt, Tier tier, boolean timed, long nowNanos) {
		this.inFlight++;
		this.inFlightByTier[tier.ordinal()]++;
		this.startedSinceReport++;
		if (this.health.isOnProbation()) {
			this.probe = attempt;
		}
		if (timed) {
			this.awaitingFirstToken.put(attempt, nowNanos);
		}
	}

	/**
	 * Takes the first token of an attempt.
	 * @param attempt identifies the attempt
	 * @param durationNanos the time since its start
	 */
	public void firstToken(Object attempt, long durationNanos) {
		if (this.awaitingFirstToken.remove(attempt) != null) {
			this.firstToken.add(durationNanos);
			this.window.firstToken(durationNanos, this.inFlight);
		}
	}

	/**
	 * Counts a request that ended.
	 * @param attempt identifies the attempt
	 * @param tier its tier
	 * @param heldNanos how long it held its slot
	 */
	public void ended(Object attempt, Tier tier, long heldNanos) {
		this.awaitingFirstToken.remove(attempt);
		this.inFlight--;
		this.inFlightByTier[tier.ordinal()]--;
		this.occupancy.add(heldNanos);
		if (this.probe == attempt) {
			this.probe = null;
		}
	}

	/**
	 * Returns the bound on concurrent requests.
	 * @return the window
	 */
	public Window window() {
		return this.window;
	}

	/**
	 * Takes the load that the upstream stated.
	 * @param running its running requests
	 * @param statedSlots its slots
	 * @param ageNanos the age of the statement
	 * @param nowNanos the time on the monotonic clock
	 */
	public void loadReported(int running, int statedSlots, long ageNanos, long nowNanos) {
		long statedAtNanos = nowNanos - ageNanos;
		if (this.reported && statedAtNanos - this.reportedAtNanos <= 0) {
			return;
		}
		this.reported = true;
		this.reportedAtNanos = statedAtNanos;
		this.reportedRunning = Math.max(0, running);
		this.slots = (statedSlots > 0) ? statedSlots : this.slots;
		this.startedSinceReport = 0;
	}

	/**
	 * Estimates the requests that run at the upstream now.
	 * @param nowNanos the time on the monotonic clock
	 * @return the count
	 */
	public int load(long nowNanos) {
		int known = this.inFlight + this.peersInFlight;
		boolean fresh = this.reported && nowNanos - this.reportedAtNanos < REPORT_LIFETIME_NANOS;
		return fresh ? Math.max(known, this.reportedRunning + this.startedSinceReport) : known;
	}

	/**
	 * Returns the average time to the first token.
	 * @return the average
	 */
	public MovingAverage firstTokenAverage() {
		return this.firstToken;
	}

	/**
	 * Returns how long the oldest attempt without a first token waits.
	 * @param nowNanos the time on the monotonic clock
	 * @return the wait in nanoseconds, or zero if none waits
	 */
	public long oldestAwaitingNanos(long nowNanos) {
		Iterator<Long> starts = this.awaitingFirstToken.values().iterator();
		return starts.hasNext() ? nowNanos - starts.next() : 0;
	}

	/**
	 * Estimates the time to the first token of a request that would start now.
	 * @param usual the usual times of the service
	 * @param nowNanos the time on the monotonic clock
	 * @return the estimate in nanoseconds
	 */
	public double expectedFirstTokenNanos(LatencyWindow usual, long nowNanos) {
		double base = Math.max(1, this.firstToken.valueOr(usual.medianNanos()));
		double expected = base * (1 + (double) this.inFlight / this.slots);
		int excess = load(nowNanos) - this.slots + 1;
		if (excess > 0) {
			expected += this.occupancy.valueOr(base) * excess / this.slots;
		}
		long oldest = oldestAwaitingNanos(nowNanos);
		return (oldest > usual.medianNanos()) ? Math.max(expected, OVERDUE_WEIGHT * oldest) : expected;
	}

}
