package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;

import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.peers.load.FleetLoad;
import org.cyclamenstall.internal.peers.load.UpstreamLoad;
import org.cyclamenstall.internal.policy.upstream.MovingAverage;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.RequestAttributes;
import org.jspecify.annotations.Nullable;

/**
 * Holds the upstreams of one service and the queue of its requests. Not thread-safe:
 * guarded by the lock of the controller.
 */
final class PlacementPool {

	/**
	 * Maximum time in which upstreams are assumed to start the work of a full window.
	 */
	private static final double WINDOW_DRAIN_NANOS = 1e9;

	/** Minimum time between two updates of the engine partition by new requests. */
	private static final long PARTITION_INTERVAL_NANOS = 250_000_000L;

	/**
	 * Number of daemons among which retries are divided at least, because this daemon may
	 * not know all others.
	 */
	private static final int MINIMUM_DAEMONS = 12;

	/** Reference of a window while the load of the other daemons is not known. */
	private static final double DEFAULT_WINDOW_TOKENS = 24_000;

	private static final double MINIMUM_WINDOW_TOKENS = 8_000;

	/** Share of the latency objective that the work of a window may take. */
	private static final double WINDOW_OBJECTIVE_SHARE = 0.5;

	/** Assumed prefix cache capacity of an engine. */
	private static final long DEFAULT_CACHE_TOKENS = 500_000;

	private final Map<String, PlacementUpstream> upstreamsByName = new LinkedHashMap<>();

	private final ResponseTimes responseTimes = new ResponseTimes();

	private final UpstreamAnnouncements announcements = new UpstreamAnnouncements();

	private final WaitingRequests queue = new WaitingRequests();

	private final DispatchRate dispatchRate = new DispatchRate();

	private final PlacementStrategy strategy;

	private EnginePartition partition = new EnginePartition(List.of(), 0);

	private final ReservedEngineCalculator reservedEngineCalculator = new ReservedEngineCalculator();

	private final EngineSpeed engineSpeed = new EngineSpeed();

	private long partitionedAtNanos;

	private final WindowedRetryBudget retryBudget;

	private final int fleetRetries;

	private final EventLog events;

	private final FleetLoad fleetLoad;

	PlacementPool(PlacementStrategy strategy, PlacementSettings settings, FleetLoad fleetLoad, EventLog events) {
		this.fleetLoad = fleetLoad;
		this.fleetRetries = settings.fleetRetries();
		this.events = events;
		this.strategy = strategy;
		this.retryBudget = new WindowedRetryBudget(Duration.ofMillis(settings.retryWindowMillis()),
				settings.retryShare());
	}

	void updateHosts(List<ListedHost> hosts, long nowNanos) {
		Map<String, PlacementUpstream> previous = new LinkedHashMap<>(this.upstreamsByName);
		this.upstreamsByName.clear();
		for (ListedHost host : hosts) {
			PlacementUpstream known = previous.get(host.host());
			if (known != null) {
				known.updateHost(host);
			}
			this.upstreamsByName.put(host.host(), (known != null) ? known
					: new PlacementUpstream(host, DEFAULT_CACHE_TOKENS, this.fleetLoad, this.announcements));
		}
		updatePartition(nowNanos);
	}

	/**
	 * Records a new request for the retry budget and the engine partition, and updates
	 * the partition at intervals.
	 * @param attributes the request attributes
	 * @param nowNanos the time on the monotonic clock
	 */
	void recordRequest(RequestAttributes attributes, long nowNanos) {
		this.retryBudget.recordRequest(nowNanos);
		if (attributes.promptTokens() > 0) {
			this.reservedEngineCalculator.recordRequest(attributes,
					this.engineSpeed.engineNanos(attributes.options().prompt(), slots()), nowNanos);
		}
		if (nowNanos - this.partitionedAtNanos > PARTITION_INTERVAL_NANOS) {
			updatePartition(nowNanos);
		}
	}

	private int slots() {
		return this.upstreamsByName.values().stream().mapToInt((upstream) -> upstream.host().slots()).max().orElse(0);
	}

	/**
	 * Estimates the engine time of an attempt, without the cached part of its prompt.
	 * @param grant the grant of the attempt
	 * @return the time in nanoseconds of an engine that serves nothing else
	 */
	double engineNanos(PlacementGrant grant) {
		return this.engineSpeed.engineNanos(grant.pendingPrefill(),
				grant.attributes().options().prompt().estimatedOutputTokens(), slots());
	}

	EngineSpeed engineSpeed() {
		return this.engineSpeed;
	}

	private void updatePartition(long nowNanos) {
		this.partitionedAtNanos = nowNanos;
		List<PlacementUpstream> live = this.upstreamsByName.values()
			.stream()
			.filter(PlacementUpstream::isLive)
			.toList();
		double occupiedEngines = live.stream()
			.filter((upstream) -> upstream.host().slots() > 0)
			.mapToDouble((upstream) -> upstream.fleetLatencySensitive() / (double) upstream.host().slots())
			.sum();
		this.partition = new EnginePartition(live, this.reservedEngineCalculator.reservedEngineCount(live.size(),
				this.partition.reservedCount(), occupiedEngines, nowNanos));
	}

	/**
	 * Returns the load of this daemon at each upstream that has any.
	 * @return the loads
	 */
	List<UpstreamLoad> localLoads() {
		return this.upstreamsByName.values()
			.stream()
			.map(PlacementUpstream::localLoad)
			.filter(Objects::nonNull)
			.toList();
	}

	int upstreamCount() {
		return this.upstreamsByName.size();
	}

	/**
	 * Acquires one retry from the budget. The retries allowed beyond the share of the
	 * requests are divided among the daemons.
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} if the budget allowed it
	 */
	boolean tryAcquireRetry(long nowNanos) {
		int daemons = Math.max(MINIMUM_DAEMONS, this.fleetLoad.daemonCount());
		return this.retryBudget.tryAcquire(this.fleetRetries / daemons, nowNanos);
	}

	WaitingRequests queue() {
		return this.queue;
	}

	boolean hasLiveUpstream() {
		return this.upstreamsByName.values().stream().anyMatch(PlacementUpstream::isLive);
	}

	/**
	 * Chooses the upstream of a retry, regardless of the pending work windows.
	 * @param ticket the request
	 * @param nowNanos the time on the monotonic clock
	 * @return the upstream, or {@code null} if all live upstreams were tried
	 */
	@Nullable PlacementUpstream chooseForRetry(PlacementTicket ticket, long nowNanos) {
		return choose(ticket, untriedUpstreams(ticket, nowNanos), (upstream) -> true, nowNanos);
	}

	/**
	 * Chooses the upstream of an attempt that replaces a silent one, among the healthy
	 * ones that have a free slot.
	 * @param ticket the request
	 * @param nowNanos the time on the monotonic clock
	 * @return the upstream, or {@code null} if there is none
	 */
	@Nullable PlacementUpstream chooseForReplacement(PlacementTicket ticket, long nowNanos) {
		List<PlacementUpstream> healthy = healthy(untriedUpstreams(ticket, nowNanos), nowNanos);
		return this.strategy.choose(healthy, PlacementUpstream::hasFreeSlot, this.partition, this.engineSpeed,
				ticket.attributes(), nowNanos);
	}

	/**
	 * Chooses the upstream of a first attempt among those with room in their pending work
	 * windows.
	 * @param ticket the request
	 * @param nowNanos the time on the monotonic clock
	 * @return the upstream, or {@code null} if the request must wait
	 */
	@Nullable PlacementUpstream chooseForFirstAttempt(PlacementTicket ticket, long nowNanos) {
		double referenceTokens = windowReferenceTokens(ticket);
		return choose(ticket, untriedUpstreams(ticket, nowNanos),
				(upstream) -> upstream.hasRoom(ticket, referenceTokens, nowNanos), nowNanos);
	}

	/**
	 * Returns the work that may be pending ahead of a request at an upstream whose
	 * responses are neither early nor late: what an engine reads in a share of the
	 * latency objective, if the load of all daemons is known.
	 * @param ticket the request
	 * @return the work in prompt tokens
	 */
	private double windowReferenceTokens(PlacementTicket ticket) {
		Duration objective = ticket.attributes().options().latencyObjective();
		if (ticket.attributes().promptTokens() == 0 || objective == null || !this.fleetLoad.isKnown()) {
			return DEFAULT_WINDOW_TOKENS;
		}
		return Math.max(MINIMUM_WINDOW_TOKENS,
				this.engineSpeed.promptTokensIn(objective.toNanos() * WINDOW_OBJECTIVE_SHARE));
	}

	private List<PlacementUpstream> untriedUpstreams(PlacementTicket ticket, long nowNanos) {
		return this.upstreamsByName.values()
			.stream()
			.filter((upstream) -> upstream.acceptsRequests(nowNanos) && !ticket.triedUpstreams().contains(upstream))
			.toList();
	}

	private static List<PlacementUpstream> healthy(List<PlacementUpstream> upstreams, long nowNanos) {
		return upstreams.stream().filter((upstream) -> {
			boolean probeInFlight = upstream.health().isHalfOpen(nowNanos) && upstream.inFlight() > 0;
			return !upstream.health().isEjected(nowNanos) && !probeInFlight;
		}).toList();
	}

	private @Nullable PlacementUpstream choose(PlacementTicket ticket, List<PlacementUpstream> untried,
			Predicate<PlacementUpstream> hasRoom, long nowNanos) {
		return this.strategy.choose(preferred(untried, nowNanos), hasRoom, this.partition, this.engineSpeed,
				ticket.attributes(), nowNanos);
	}

	private static List<PlacementUpstream> preferred(List<PlacementUpstream> untried, long nowNanos) {
		List<PlacementUpstream> healthy = healthy(untried, nowNanos);
		List<PlacementUpstream> willing = healthy.stream()
			.filter((upstream) -> upstream.refusals().allows(upstream.inFlight(), nowNanos))
			.toList();
		if (!willing.isEmpty()) {
			return willing;
		}
		return healthy.isEmpty() ? untried : healthy;
	}

	void recordStart(PlacementGrant grant, long nowNanos) {
		this.dispatchRate.recordDispatch(grant.ticket().fullWorkTokens(), nowNanos);
		grant.ticket().triedUpstreams().add(grant.placementUpstream());
		grant.placementUpstream().recordStart(grant);
	}

	/**
	 * Estimates how long a request waits in the queue behind an amount of work. The
	 * windows are shared with the other daemons, so if their load is known, only the rate
	 * at which this daemon dispatches counts.
	 * @param ticket the request
	 * @param work the work in prompt tokens
	 * @param nowNanos the time on the monotonic clock
	 * @return the time in nanoseconds
	 */
	double waitNanos(PlacementTicket ticket, double work, long nowNanos) {
		double referenceTokens = windowReferenceTokens(ticket);
		double totalWindow = this.upstreamsByName.values()
			.stream()
			.filter(PlacementUpstream::isLive)
			.mapToDouble((upstream) -> upstream.window().sizeTokens(referenceTokens))
			.sum();
		double windowWaitNanos = (totalWindow > 0) ? work / totalWindow * WINDOW_DRAIN_NANOS : Double.MAX_VALUE;
		double dispatchNanos = this.dispatchRate.nanosFor(work, nowNanos);
		return unavailableNanos(nowNanos)
				+ (this.fleetLoad.isKnown() ? dispatchNanos : Math.min(windowWaitNanos, dispatchNanos));
	}

	/**
	 * Returns the time until the first upstream wants requests again.
	 * @param nowNanos the time on the monotonic clock
	 * @return the time in nanoseconds, or zero if one does or there is none
	 */
	private long unavailableNanos(long nowNanos) {
		return this.upstreamsByName.values()
			.stream()
			.filter(PlacementUpstream::isLive)
			.mapToLong((upstream) -> upstream.remainingUnavailableNanos(nowNanos))
			.min()
			.orElse(0);
	}

	/**
	 * Returns the remaining time in which a queued request can be dispatched and still be
	 * answered.
	 * @param ticket the request
	 * @param nowNanos the time on the monotonic clock
	 * @return the time in nanoseconds, negative if it has passed
	 */
	double remainingDispatchNanos(PlacementTicket ticket, long nowNanos) {
		return this.responseTimes.latestDispatchNanos(ticket) - nowNanos;
	}

	/**
	 * Returns whether a request that is sent now gets its response before a deadline.
	 * @param deadlineNanos the deadline on the monotonic clock
	 * @param ticket the request
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} if its response, or the end of its timeout, is expected before
	 */
	boolean mayCompleteBefore(long deadlineNanos, PlacementTicket ticket, long nowNanos) {
		return this.responseTimes.latestCompletionNanos(ticket, nowNanos) - deadlineNanos <= 0;
	}

	void recordFirstEvent(PlacementGrant grant, long nowNanos) {
		MovingAverage firstEventAverage = this.responseTimes.firstEvent(grant.attributes());
		long durationNanos = nowNanos - grant.startedAtNanos();
		if (firstEventAverage.samples() > 0) {
			grant.placementUpstream()
				.relativeLatency()
				.record(durationNanos / firstEventAverage.valueOr(durationNanos), nowNanos);
		}
		firstEventAverage.add(durationNanos);
		this.engineSpeed.recordFirstEvent(durationNanos, grant.pendingPrefill());
		grant.placementUpstream().recordDataReceived(nowNanos);
		grant.placementUpstream().recordPrefillEnd(grant);
		recordExecution(grant, nowNanos);
		Duration objective = grant.attributes().options().latencyObjective();
		if (objective != null) {
			grant.placementUpstream().window().recordFirstEvent(durationNanos / (double) objective.toNanos(), nowNanos);
		}
	}

	/**
	 * Records that an upstream has said that it leaves.
	 * @param grant the grant of the attempt to which it responded
	 * @param nowNanos the time on the monotonic clock
	 */
	void recordLeaving(PlacementGrant grant, long nowNanos) {
		if (this.announcements.recordLeaving(grant.upstream())) {
			this.events.record(new Event.UpstreamAnnounced(grant.upstream().host(), "leaving", null));
			updatePartition(nowNanos);
		}
	}

	/**
	 * Records that an upstream has said that it wants no requests for a time.
	 * @param grant the grant of the attempt that it refused
	 * @param duration the time from now
	 * @param nowNanos the time on the monotonic clock
	 */
	void recordUnavailable(PlacementGrant grant, Duration duration, long nowNanos) {
		this.announcements.recordUnavailable(grant.upstream(), nowNanos + duration.toNanos());
		this.events.record(new Event.UpstreamAnnounced(grant.upstream().host(), "unavailable", duration.toMillis()));
	}

	/**
	 * Records that an upstream is silent in the middle of a stream; once for each
	 * attempt.
	 * @param grant the grant of the attempt
	 * @param nowNanos the time on the monotonic clock
	 */
	void recordSilence(PlacementGrant grant, long nowNanos) {
		if (grant.markSilent()) {
			recordLateness(grant.placementUpstream(), nowNanos);
		}
	}

	private static void recordLateness(PlacementUpstream upstream, long nowNanos) {
		upstream.health().recordFailure(nowNanos);
		upstream.window().recordFirstEvent(PendingWorkWindow.NOT_RECEIVED_RATIO, nowNanos);
	}

	void recordEnd(PlacementGrant grant, AttemptResult result, long nowNanos) {
		PlacementUpstream upstream = grant.placementUpstream();
		upstream.recordEnd(grant);
		if (result == AttemptResult.COMPLETED) {
			this.responseTimes.recordCompletion(grant.attributes(), nowNanos - grant.startedAtNanos());
		}
		boolean wasEjected = upstream.health().isEjected(nowNanos);
		boolean wasUnhealthy = wasEjected || upstream.health().isHalfOpen(nowNanos);
		updateHealth(grant, result, nowNanos);
		if (wasUnhealthy && result == AttemptResult.COMPLETED) {
			this.events.record(new Event.UpstreamTrusted(upstream.host().host()));
		}
		else if (!wasEjected && upstream.health().isEjected(nowNanos)) {
			this.events.record(new Event.UpstreamPaused(upstream.host().host(), result.name(),
					upstream.health().failureShare(nowNanos), upstream.health().remainingEjectionMillis(nowNanos)));
		}
	}

	private void recordExecution(PlacementGrant grant, long nowNanos) {
		grant.placementUpstream().refusals().recordSuccess();
		this.announcements.recordSuccess(grant.upstream(), nowNanos);
	}

	private void updateHealth(PlacementGrant grant, AttemptResult result, long nowNanos) {
		PlacementUpstream upstream = grant.placementUpstream();
		switch (result) {
			case COMPLETED -> {
				upstream.recordDataReceived(nowNanos);
				upstream.health().recordSuccess(nowNanos);
				recordExecution(grant, nowNanos);
			}
			case UNREACHABLE -> upstream.health().recordUnreachable(nowNanos);
			case REFUSED -> {
				upstream.recordDataReceived(nowNanos);
				upstream.refusals().recordRefusal(nowNanos);
			}
			case FAILED, ANSWER_INVALID -> {
				upstream.recordDataReceived(nowNanos);
				upstream.health().recordFailure(nowNanos);
			}
			case TIMED_OUT -> {
				if (!grant.isSilent()) {
					recordLateness(upstream, nowNanos);
				}
			}
			case CONNECTION_LOST -> recordLateness(upstream, nowNanos);
			default -> {
			}
		}
	}

}
