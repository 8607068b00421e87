package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.hosts.HostList;
import org.cyclamenstall.hosts.HostSnapshot;
import org.cyclamenstall.internal.kernel.ShutdownSchedule;
import org.cyclamenstall.internal.peers.load.FleetLoad;
import org.cyclamenstall.internal.peers.load.UpstreamLoad;
import org.cyclamenstall.internal.policy.DeferredCallbacks;
import org.cyclamenstall.internal.policy.quarantine.PromptQuarantine;
import org.cyclamenstall.internal.policy.quarantine.QuarantineRefusal;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.EngineTimeRecorder;
import org.cyclamenstall.policy.GrantListener;
import org.cyclamenstall.policy.RequestAttributes;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.StartedRequests;
import org.cyclamenstall.policy.Ticket;
import org.cyclamenstall.policy.TrafficController;
import org.jspecify.annotations.Nullable;

/**
 * Places each request on the upstream with the lowest expected cost, and queues it while
 * the upstreams have as much pending work as they can start in time. Retries are placed
 * immediately. One lock guards all state; listeners are called after its release.
 * Thread-safe.
 */
public final class PlacementTrafficController implements TrafficController {

	private static final Logger logger = LogManager.getLogger(PlacementTrafficController.class);

	private static final int MAXIMUM_UNEXECUTED_RETRIES = 3;

	private static final String FIRST_ATTEMPT_REASON = "first";

	private static final long TICK_INTERVAL_MILLIS = 50;

	private final Map<String, PlacementPool> pools = new HashMap<>();

	private final DeferredCallbacks callbacks = new DeferredCallbacks();

	private final PlacementSettings settings;

	private final String failureDomain;

	private final HostList hosts;

	private final FleetLoad fleetLoad;

	private final MonotonicClock clock;

	private final UniformRandomProvider random;

	private final OverloadPolicy overloadPolicy;

	private final PlacementRefusals refusals;

	private final PromptQuarantine quarantine;

	private final StartedRequests startedRequests;

	private final EngineTimeRecorder engineTime;

	private final EventLog events;

	private final PlacementMetrics metrics;

	private HostSnapshot snapshot = HostSnapshot.EMPTY;

	private @Nullable ScheduledExecutorService timer;

	private boolean tickScheduled;

	private boolean draining;

	private @Nullable ShutdownSchedule shutdown;

	private int unfinishedCount;

	private long sequence;

	/**
	 * Creates a controller.
	 * @param settings the retry budget settings
	 * @param hosts the host list of the platform
	 * @param failureDomain the failure domain of this daemon
	 * @param fleetLoad the load of the other daemons
	 * @param quarantine the prompt parts that crash upstreams
	 * @param startedRequests receives the requests that upstreams began
	 * @param engineTime receives the engine time of the requests that are sent
	 * @param clock the monotonic clock
	 * @param random the source of randomness
	 * @param events the event log
	 * @param registry the registry of the metrics
	 */
	public PlacementTrafficController(PlacementSettings settings, HostList hosts, String failureDomain,
			FleetLoad fleetLoad, PromptQuarantine quarantine, StartedRequests startedRequests,
			EngineTimeRecorder engineTime, MonotonicClock clock, UniformRandomProvider random, EventLog events,
			PrometheusRegistry registry) {
		this.settings = settings;
		this.hosts = hosts;
		this.failureDomain = failureDomain;
		this.fleetLoad = fleetLoad;
		this.quarantine = quarantine;
		this.startedRequests = startedRequests;
		this.engineTime = engineTime;
		this.clock = clock;
		this.random = random;
		this.overloadPolicy = new OverloadPolicy(random);
		this.refusals = new PlacementRefusals(this.callbacks, this.overloadPolicy);
		this.events = events;
		this.metrics = new PlacementMetrics(registry);
	}

	@Override
	public void start() {
		this.timer = Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread thread = new Thread(task, "placement-timer");
			thread.setDaemon(true);
			return thread;
		});
		this.hosts.addListener(this::updateHosts);
		updateHosts(this.hosts.current());
	}

	@Override
	public void close() {
		if (this.timer != null) {
			this.timer.shutdownNow();
		}
	}

	@Override
	public Ticket submit(RequestAttributes attributes, GrantListener listener) {
		return runLocked(() -> {
			this.unfinishedCount++;
			this.sequence++;
			PlacementTicket ticket = new PlacementTicket(this, attributes, listener, this.sequence);
			enqueue(ticket, this.clock.nanoTime());
			return ticket;
		});
	}

	private void enqueue(PlacementTicket ticket, long nowNanos) {
		PlacementPool pool = poolOf(ticket);
		if (this.draining || (this.shutdown != null && !this.shutdown.acceptsRequests(nowNanos))) {
			this.refusals.shuttingDown(ticket, "The daemon is shutting down");
			return;
		}
		if (!pool.hasLiveUpstream()) {
			this.refusals.noLiveUpstream(ticket);
			return;
		}
		pool.recordRequest(ticket.attributes(), nowNanos);
		if (refuseQuarantined(ticket, nowNanos) || refuseUnanswerable(pool, ticket, nowNanos)) {
			return;
		}
		pool.queue().add(ticket);
		dispatchQueued(pool, nowNanos);
		if (pool.queue().contains(ticket)) {
			double waitNanos = pool.waitNanos(ticket, pool.queue().workTokensAhead(ticket), nowNanos);
			if (this.overloadPolicy.shouldRefuse(waitNanos, pool.remainingDispatchNanos(ticket, nowNanos))) {
				pool.queue().remove(ticket);
				this.refusals.upstreamsFull(ticket, waitNanos, nowNanos);
				return;
			}
			this.events
				.record(new Event.RequestQueued(ticket.attributes().requestId(), ticket.attributes().entry().name(),
						ticket.priority(), pool.queue().size(), Math.round(pool.queue().totalWorkTokens())));
			scheduleTick();
		}
	}

	private void dispatchQueued(PlacementPool pool, long nowNanos) {
		if (pool.queue().size() == 0) {
			return;
		}
		pool.queue().dispatch((ticket) -> {
			if (refuseQuarantined(ticket, nowNanos) || refuseUnanswerable(pool, ticket, nowNanos)) {
				return true;
			}
			PlacementUpstream upstream = pool.chooseForFirstAttempt(ticket, nowNanos);
			if (upstream != null) {
				this.metrics.recordWait(ticket.attributes().tier(), nowNanos - ticket.attributes().arrivalNanos());
				grant(ticket, ticket.listener(), upstream, FIRST_ATTEMPT_REASON, nowNanos);
			}
			return upstream != null;
		});
	}

	private boolean refuseQuarantined(PlacementTicket ticket, long nowNanos) {
		QuarantineRefusal refusal = this.quarantine.check(ticket.service(), ticket.attributes().options().prompt(),
				nowNanos);
		if (refusal == null) {
			return false;
		}
		this.metrics.recordQuarantineRefusal();
		this.refusals.quarantined(ticket, refusal);
		return true;
	}

	private boolean refuseUnanswerable(PlacementPool pool, PlacementTicket ticket, long nowNanos) {
		if (mayCompleteBeforeShutdown(pool, ticket, nowNanos)) {
			return false;
		}
		this.refusals.shuttingDown(ticket, "The daemon shuts down before the request could be answered");
		return true;
	}

	private boolean mayCompleteBeforeShutdown(PlacementPool pool, PlacementTicket ticket, long nowNanos) {
		return this.shutdown == null || pool.mayCompleteBefore(this.shutdown.responseDeadlineNanos(), ticket, nowNanos);
	}

	private void scheduleTick() {
		if (!this.tickScheduled && this.timer != null) {
			this.tickScheduled = true;
			this.timer.schedule(this::tickSafely, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void tickSafely() {
		boolean completed = false;
		try {
			tick();
			completed = true;
		}
		catch (RuntimeException | Error ex) {
			logger.error("Periodic processing of queued requests failed", ex);
		}
		finally {
			if (!completed) {
				rescheduleTick();
			}
		}
	}

	private synchronized void rescheduleTick() {
		this.tickScheduled = false;
		scheduleTick();
	}

	/**
	 * Processes the queues: marks requests that missed their objective, dispatches those
	 * for which an upstream has room, and refuses those that cannot complete in time.
	 */
	public void tick() {
		runLocked(() -> {
			long nowNanos = this.clock.nanoTime();
			this.tickScheduled = false;
			for (PlacementPool pool : this.pools.values()) {
				pool.queue().markOverdue(nowNanos);
				dispatchQueued(pool, nowNanos);
				refuseLateRequests(pool, nowNanos);
			}
			if (this.pools.values().stream().anyMatch((pool) -> pool.queue().size() > 0)) {
				scheduleTick();
			}
			return true;
		});
	}

	private void refuseLateRequests(PlacementPool pool, long nowNanos) {
		double workAhead = 0;
		for (PlacementTicket ticket : pool.queue().all()) {
			double waitNanos = pool.waitNanos(ticket, workAhead, nowNanos);
			if (this.overloadPolicy.shouldRefuse(waitNanos, pool.remainingDispatchNanos(ticket, nowNanos))) {
				pool.queue().remove(ticket);
				this.refusals.upstreamsFull(ticket, waitNanos, nowNanos);
			}
			else {
				workAhead += ticket.fullWorkTokens();
			}
		}
	}

	/**
	 * Returns the load of this daemon at each upstream that has any.
	 * @return the loads
	 */
	public List<UpstreamLoad> localLoads() {
		synchronized (this) {
			return this.pools.values().stream().flatMap((pool) -> pool.localLoads().stream()).toList();
		}
	}

	boolean withdraw(PlacementTicket ticket) {
		return runLocked(() -> poolOf(ticket).queue().remove(ticket));
	}

	RetryDecision retry(PlacementTicket ticket, RetryReason reason, GrantListener listener) {
		return runLocked(() -> {
			long nowNanos = this.clock.nanoTime();
			RetryDecision decision = tryRetry(ticket, ticket.possiblyExecutedAttempts(), reason, listener,
					(pool) -> pool.chooseForRetry(ticket, nowNanos), nowNanos);
			this.metrics.recordRetry(reason, decision);
			return decision;
		});
	}

	RetryDecision replace(PlacementGrant running, RetryReason reason, GrantListener listener) {
		return runLocked(() -> {
			long nowNanos = this.clock.nanoTime();
			PlacementTicket ticket = running.ticket();
			RetryDecision decision = tryRetry(ticket, ticket.possiblyExecutedAttempts() + 1, reason, listener,
					(pool) -> pool.chooseForReplacement(ticket, nowNanos), nowNanos);
			this.metrics.recordRetry(reason, decision);
			poolOf(ticket).recordSilence(running, nowNanos);
			return decision;
		});
	}

	private RetryDecision tryRetry(PlacementTicket ticket, int possiblyExecutedAttempts, RetryReason reason,
			GrantListener listener, Function<PlacementPool, @Nullable PlacementUpstream> choice, long nowNanos) {
		if (possiblyExecutedAttempts >= ticket.attributes().options().maximumAttempts()
				|| ticket.unexecutedAttempts() > MAXIMUM_UNEXECUTED_RETRIES) {
			return RetryDecision.ATTEMPTS_EXHAUSTED;
		}
		if (!this.quarantine.mayRetry(ticket.service(), ticket.attributes().options().prompt(), nowNanos)) {
			return RetryDecision.PROMPT_SUSPECTED;
		}
		PlacementPool pool = poolOf(ticket);
		// A stream that has started can only be resumed, however short the time.
		if (reason != RetryReason.STREAM_CUT && !mayCompleteBeforeShutdown(pool, ticket, nowNanos)) {
			return RetryDecision.SHUTTING_DOWN;
		}
		PlacementUpstream upstream = choice.apply(pool);
		if (upstream == null) {
			return RetryDecision.NO_UPSTREAM;
		}
		boolean sent = reason != RetryReason.UNREACHABLE && reason != RetryReason.WITHDRAWN;
		if (sent && !pool.tryAcquireRetry(nowNanos)) {
			return RetryDecision.BUDGET_SPENT;
		}
		grant(ticket, listener, upstream, reason.label(), nowNanos);
		return RetryDecision.GRANTED;
	}

	private void grant(PlacementTicket ticket, GrantListener listener, PlacementUpstream upstream, String reason,
			long nowNanos) {
		PlacementGrant grant = new PlacementGrant(this, ticket, upstream, nowNanos);
		this.quarantine.startProbe(ticket.service(), ticket.attributes().options().prompt(), nowNanos);
		this.events.record(placedEvent(grant, reason, nowNanos));
		poolOf(ticket).recordStart(grant, nowNanos);
		if (ticket.attributes().promptTokens() > 0) {
			this.engineTime.record(ticket.service(), Math.round(poolOf(ticket).engineNanos(grant)));
		}
		this.callbacks.add(() -> listener.onGranted(grant));
	}

	private Event placedEvent(PlacementGrant grant, String reason, long nowNanos) {
		RequestAttributes attributes = grant.attributes();
		PlacementUpstream upstream = grant.placementUpstream();
		return new Event.RequestPlaced(attributes.requestId(), attributes.entry().name(), attributes.account().name(),
				attributes.options().priority(), grant.attempt(), reason, upstream.host().host(),
				attributes.promptTokens(), upstream.uncachedTokens(attributes.options().prompt()),
				Math.round(upstream.pendingPrefillAhead(attributes)), upstream.inFlight(),
				poolOf(grant.ticket()).upstreamCount(),
				TimeUnit.NANOSECONDS.toMillis(nowNanos - attributes.arrivalNanos()));
	}

	void recordFirstEvent(PlacementGrant grant) {
		runLocked(() -> {
			if (grant.markFirstEventReceived()) {
				long nowNanos = this.clock.nanoTime();
				PlacementPool pool = poolOf(grant.ticket());
				pool.recordFirstEvent(grant, nowNanos);
				this.quarantine.recordSuccess(grant.upstream(), grant.attributes().options().prompt(),
						grant.startedAtNanos(), nowNanos);
				dispatchQueued(pool, nowNanos);
			}
			return true;
		});
	}

	void recordEvent(PlacementGrant grant) {
		synchronized (this) {
			long nowNanos = this.clock.nanoTime();
			grant.recordEvent(nowNanos, poolOf(grant.ticket()).engineSpeed());
			recordBegun(grant.ticket(), nowNanos, nowNanos);
		}
	}

	void recordLeaving(PlacementGrant grant) {
		runLocked(() -> {
			poolOf(grant.ticket()).recordLeaving(grant, this.clock.nanoTime());
			return true;
		});
	}

	void recordUnavailable(PlacementGrant grant, Duration duration) {
		runLocked(() -> {
			poolOf(grant.ticket()).recordUnavailable(grant, duration, this.clock.nanoTime());
			return true;
		});
	}

	boolean maySend(PlacementGrant grant) {
		synchronized (this) {
			PlacementUpstream upstream = grant.placementUpstream();
			return upstream.isLive() && upstream.remainingUnavailableNanos(this.clock.nanoTime()) == 0;
		}
	}

	void endAttempt(PlacementGrant grant, AttemptResult result) {
		runLocked(() -> {
			endAttempt(grant, result, this.clock.nanoTime());
			return true;
		});
	}

	private void endAttempt(PlacementGrant grant, AttemptResult result, long nowNanos) {
		if (grant.markEnded()) {
			grant.ticket()
				.recordAttemptEnd(result == AttemptResult.UNREACHABLE || result == AttemptResult.REFUSED
						|| result == AttemptResult.NOT_SENT);
			if (result == AttemptResult.COMPLETED || result == AttemptResult.FAILED) {
				recordBegun(grant.ticket(), grant.startedAtNanos(), nowNanos);
			}
			PlacementPool pool = poolOf(grant.ticket());
			pool.recordEnd(grant, result, nowNanos);
			if (result == AttemptResult.CONNECTION_LOST && !grant.hasReceivedFirstEvent()) {
				this.quarantine.recordCrash(grant.upstream(), grant.attributes().options().prompt(), nowNanos);
			}
			dispatchQueued(pool, nowNanos);
		}
	}

	private void recordBegun(PlacementTicket ticket, long begunAtNanos, long nowNanos) {
		if (ticket.markBegun()) {
			this.startedRequests.record(ticket.attributes(), nowNanos - begunAtNanos);
		}
	}

	void finish(PlacementTicket ticket) {
		runLocked(() -> {
			this.unfinishedCount -= ticket.markFinished() ? 1 : 0;
			return true;
		});
	}

	@Override
	public void drain() {
		runLocked(() -> this.draining = true);
	}

	/**
	 * Starts a shutdown. From now on, only those requests are sent to an upstream, and
	 * remain queued, whose response is expected before the deadline of the schedule; the
	 * others are refused at once, while it is certain that they were not executed.
	 * @param schedule the times of the shutdown
	 */
	public void shutDown(ShutdownSchedule schedule) {
		runLocked(() -> {
			this.shutdown = schedule;
			this.pools.values().forEach((pool) -> dispatchQueued(pool, this.clock.nanoTime()));
			return true;
		});
	}

	@Override
	public int unfinishedRequests() {
		return runLocked(() -> this.unfinishedCount);
	}

	private void updateHosts(HostSnapshot newSnapshot) {
		runLocked(() -> {
			this.snapshot = newSnapshot;
			this.pools.forEach((service, pool) -> {
				pool.updateHosts(newSnapshot.hosts(service), this.clock.nanoTime());
				dispatchQueued(pool, this.clock.nanoTime());
			});
			return true;
		});
	}

	private PlacementPool poolOf(PlacementTicket ticket) {
		String service = ticket.service();
		PlacementPool pool = this.pools.get(service);
		if (pool == null) {
			pool = new PlacementPool(new LeastCostPlacement(this.failureDomain, this.fleetLoad, this.random),
					this.settings, this.fleetLoad, this.events);
			pool.updateHosts(this.snapshot.hosts(service), this.clock.nanoTime());
			this.pools.put(service, pool);
		}
		return pool;
	}

	private <T> T runLocked(Supplier<T> action) {
		List<Runnable> pendingCalls;
		T result;
		synchronized (this) {
			result = action.get();
			pendingCalls = this.callbacks.drain();
		}
		DeferredCallbacks.runAll(pendingCalls);
		return result;
	}

}
