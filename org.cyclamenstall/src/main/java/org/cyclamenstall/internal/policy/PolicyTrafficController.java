package org.cyclamenstall.internal.policy;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.hosts.HostSnapshot;
import org.cyclamenstall.internal.policy.limits.DemandTracker;
import org.cyclamenstall.internal.policy.limits.LimitRegistry;
import org.cyclamenstall.internal.policy.limits.ShareAllocator;
import org.cyclamenstall.internal.policy.upstream.Upstream;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.DemandExchange;
import org.cyclamenstall.policy.DemandReport;
import org.cyclamenstall.policy.GrantListener;
import org.cyclamenstall.policy.Refusal;
import org.cyclamenstall.policy.RequestAttributes;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.Ticket;
import org.cyclamenstall.policy.TrafficController;
import org.jspecify.annotations.Nullable;

/**
 * Queues requests by tier and grants them upstream slots, which are divided among the
 * daemons, with the policies selected by the settings. Each submission and each accepted
 * retry is granted, refused or withdrawn exactly once; each slot is held by at most one
 * attempt. A single lock guards all state; listeners are called after it is released.
 * Thread-safe.
 */
public final class PolicyTrafficController implements TrafficController, DemandExchange {

	private static final Logger logger = LogManager.getLogger(PolicyTrafficController.class);

	private static final long TICK_INTERVAL_MILLIS = 20;

	private static final long REFRESH_INTERVAL_NANOS = 100_000_000L;

	private final ReentrantLock lock = new ReentrantLock();

	private final DeferredCallbacks deferredCallbacks = new DeferredCallbacks();

	private final QueueTimers timers = new QueueTimers();

	private final DemandTracker demandTracker = new DemandTracker();

	private final PolicyFactory policies;

	private final MonotonicClock clock;

	private final PoolRegistry pools;

	private final LimitRegistry limits;

	private final LimitReconciler reconciler;

	private final Admission admission;

	private final Dispatcher dispatcher;

	private final RetryPolicy retryPolicy;

	private final DecisionRecorder recorder;

	private @Nullable ScheduledExecutorService tickExecutor;

	private boolean draining;

	private int unfinishedCount;

	private long lastRefreshAtNanos;

	PolicyTrafficController(PolicyFactory policies, MonotonicClock clock, PolicyMetrics metrics, DecisionLog log) {
		this.policies = policies;
		this.clock = clock;
		ShareAllocator allocator = policies.newShareAllocator();
		this.pools = new PoolRegistry(policies, allocator, this.demandTracker);
		this.limits = new LimitRegistry(allocator, this.demandTracker);
		OutputTokenEstimator estimator = new OutputTokenEstimator();
		this.reconciler = new LimitReconciler(this.limits, estimator);
		this.admission = new Admission(this.limits, estimator, policies.settings().queueLength());
		this.recorder = new DecisionRecorder(metrics, log);
		this.dispatcher = new Dispatcher(this, policies, this.recorder, this.deferredCallbacks);
		this.retryPolicy = new RetryPolicy(policies.settings(), policies.random());
	}

	@Override
	public void start() {
		ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread thread = new Thread(task, "policy-timer");
			thread.setDaemon(true);
			return thread;
		});
		executor.scheduleWithFixedDelay(this::runTick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
		this.tickExecutor = executor;
	}

	@Override
	public void close() {
		if (this.tickExecutor != null) {
			this.tickExecutor.shutdownNow();
		}
	}

	private void runTick() {
		try {
			tick(this.clock.nanoTime());
		}
		catch (RuntimeException ex) {
			logger.error("Periodic tick of the traffic controller failed", ex);
		}
	}

	/**
	 * Requeues requests whose retry delay has elapsed, refuses those whose deadline has
	 * passed, refreshes the pools at intervals and dispatches queued requests. Called
	 * periodically by the tick executor.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void tick(long nowNanos) {
		withLock(() -> {
			this.timers.runDue(nowNanos, (ticket) -> ticket.pool().queue().requeue(ticket),
					(ticket) -> refuseWaiting(ticket, ErrorKind.DEADLINE_EXCEEDED, nowNanos));
			boolean refresh = nowNanos - this.lastRefreshAtNanos >= REFRESH_INTERVAL_NANOS;
			if (refresh) {
				this.lastRefreshAtNanos = nowNanos;
				refresh(nowNanos);
			}
			this.pools.all().forEach((pool) -> this.dispatcher.dispatch(pool, nowNanos));
			return null;
		});
	}

	private void refresh(long nowNanos) {
		this.demandTracker.expire(nowNanos);
		for (ServicePool pool : this.pools.all()) {
			pool.refresh(nowNanos);
			if (pool.hasLostAllUpstreams(nowNanos)) {
				pool.queue().all().forEach((ticket) -> refuseWaiting(ticket, ErrorKind.NO_LIVE_UPSTREAM, nowNanos));
			}
		}
	}

	@Override
	public Ticket submit(RequestAttributes attributes, GrantListener listener) {
		PolicyTicket ticket = new PolicyTicket(this, attributes);
		withLock(() -> {
			long nowNanos = this.clock.nanoTime();
			this.unfinishedCount++;
			ticket.startWaiting(listener, nowNanos);
			ErrorKind refusal = admit(ticket, nowNanos);
			if (refusal != null) {
				refuse(ticket, refusal, nowNanos);
			}
			return null;
		});
		return ticket;
	}

	private @Nullable ErrorKind admit(PolicyTicket ticket, long nowNanos) {
		if (this.draining) {
			return ErrorKind.SHUTTING_DOWN;
		}
		RequestAttributes attributes = ticket.attributes();
		String service = attributes.options().service();
		ServicePool pool = (service != null) ? this.pools.getOrCreate(service, nowNanos) : null;
		if (pool == null || !pool.hasLiveUpstream(nowNanos)) {
			return ErrorKind.NO_LIVE_UPSTREAM;
		}
		double tokens = this.admission.expectedTokens(attributes);
		ErrorKind refusal = this.admission.admit(attributes, tokens, nowNanos);
		if (refusal != null) {
			return refusal;
		}
		ticket.markAdmitted(pool, tokens);
		this.retryPolicy.recordRequest();
		this.admission.setDeadline(ticket, attributes.arrivalNanos());
		return enqueue(ticket, pool, nowNanos);
	}

	private @Nullable ErrorKind enqueue(PolicyTicket ticket, ServicePool pool, long nowNanos) {
		if (this.admission.isDeadlineUnreachable(ticket, pool, nowNanos)) {
			return ErrorKind.DEADLINE_UNREACHABLE;
		}
		if ((this.admission.isTierQueueFull(pool, ticket.tier()) || this.admission.isTotalQueueFull(pool))
				&& !tryShedLowerTier(ticket, pool, nowNanos) && ticket.tier() != Tier.INTERACTIVE) {
			return ErrorKind.QUEUE_FULL;
		}
		pool.queue().add(ticket);
		pool.updateDemand(nowNanos);
		this.timers.scheduleDeadline(ticket);
		this.dispatcher.dispatch(pool, nowNanos);
		if (ticket.isWaiting()) {
			this.recorder.recordQueued(ticket, nowNanos);
		}
		return null;
	}

	private boolean tryShedLowerTier(PolicyTicket ticket, ServicePool pool, long nowNanos) {
		PolicyTicket victim = pool.queue().selectVictim(ticket.tier());
		if (victim == null) {
			return false;
		}
		Tier lowestTier = pool.lowestSheddableTier();
		cancelTimers(victim);
		pool.queue().remove(victim);
		this.recorder.recordShed(victim, ticket.tier(), lowestTier, nowNanos);
		refuseWithoutRecording(victim, ErrorKind.SHED);
		return true;
	}

	void cancelTimers(PolicyTicket ticket) {
		this.timers.cancel(ticket);
	}

	private void refuseWaiting(PolicyTicket ticket, ErrorKind kind, long nowNanos) {
		cancelTimers(ticket);
		ticket.pool().queue().remove(ticket);
		refuse(ticket, kind, nowNanos);
	}

	private void refuse(PolicyTicket ticket, ErrorKind kind, long nowNanos) {
		this.recorder.recordRefusal(ticket, kind, ticket.isAdmitted() ? ticket.pool().lowestSheddableTier() : null,
				nowNanos);
		refuseWithoutRecording(ticket, kind);
	}

	/**
	 * Stops the wait of a request and adds the callback for its refusal. Finishes the
	 * request if it had no attempt.
	 * @param ticket the ticket of the request
	 * @param kind the error kind
	 */
	private void refuseWithoutRecording(PolicyTicket ticket, ErrorKind kind) {
		GrantListener listener = ticket.stopWaiting();
		if (ticket.attempts() == 0) {
			finishTicket(ticket, 0);
		}
		Refusal refusal = new Refusal(kind, RefusalMessages.of(kind, ticket.attributes()));
		this.deferredCallbacks.add(() -> listener.onRefused(refusal));
	}

	boolean withdraw(PolicyTicket ticket) {
		return withLock(() -> {
			if (!ticket.isWaiting()) {
				return false;
			}
			cancelTimers(ticket);
			ticket.pool().queue().remove(ticket);
			ticket.stopWaiting();
			if (ticket.attempts() == 0) {
				finishTicket(ticket, 0);
			}
			return true;
		});
	}

	RetryDecision retry(PolicyTicket ticket, RetryReason reason, GrantListener listener) {
		return withLock(() -> {
			long nowNanos = this.clock.nanoTime();
			RetryDecision decision = ticket.isWaiting() ? RetryDecision.ATTEMPTS_EXHAUSTED
					: this.retryPolicy.decide(ticket, reason, nowNanos);
			this.recorder.metrics().recordRetry(reason, decision);
			if (decision == RetryDecision.GRANTED) {
				requeue(ticket, reason, listener, nowNanos);
			}
			return decision;
		});
	}

	private void requeue(PolicyTicket ticket, RetryReason reason, GrantListener listener, long nowNanos) {
		ticket.startWaiting(listener, nowNanos);
		ticket.clearDeadline();
		if (!ticket.hasResponseStarted()) {
			this.admission.setDeadline(ticket, nowNanos);
			this.timers.scheduleDeadline(ticket);
		}
		long delayNanos = this.retryPolicy.delayNanos(ticket, reason);
		if (delayNanos > 0) {
			this.timers.scheduleRequeue(ticket, nowNanos + delayNanos);
			return;
		}
		ticket.pool().queue().requeue(ticket);
		this.dispatcher.dispatch(ticket.pool(), nowNanos);
	}

	Optional<Duration> hedgeDelay(PolicyTicket ticket) {
		return withLock(
				() -> this.policies.isHedgingEnabled() ? this.retryPolicy.hedgeDelay(ticket) : Optional.empty());
	}

	RetryDecision hedge(PolicyTicket ticket, GrantListener listener) {
		return withLock(() -> {
			long nowNanos = this.clock.nanoTime();
			RetryDecision decision = tryHedge(ticket, listener, nowNanos);
			this.recorder.metrics().recordRetry(RetryReason.HEDGE, decision);
			return decision;
		});
	}

	private RetryDecision tryHedge(PolicyTicket ticket, GrantListener listener, long nowNanos) {
		ServicePool pool = ticket.pool();
		if (!this.policies.isHedgingEnabled() || ticket.isWaiting() || pool.queue().size(ticket.tier()) > 0
				|| !pool.hasUntriedLiveUpstream(ticket, nowNanos)) {
			return RetryDecision.NO_UPSTREAM;
		}
		Upstream upstream = pool.findUpstream(ticket, false, nowNanos);
		if (upstream == null) {
			return RetryDecision.NO_UPSTREAM;
		}
		RetryDecision decision = this.retryPolicy.decide(ticket, RetryReason.HEDGE, nowNanos);
		if (decision == RetryDecision.GRANTED) {
			// A hedged attempt never waits; this sets the time from which its wait is
			// recorded.
			ticket.startWaiting(listener, nowNanos);
			ticket.stopWaiting();
			this.dispatcher.startAttempt(ticket, listener, upstream, DecisionType.HEDGED, nowNanos);
		}
		return decision;
	}

	void finish(PolicyTicket ticket, long generatedTokens) {
		withLock(() -> {
			finishTicket(ticket, generatedTokens);
			return null;
		});
	}

	private void finishTicket(PolicyTicket ticket, long generatedTokens) {
		if (!ticket.markFinished()) {
			return;
		}
		this.unfinishedCount--;
		if (ticket.isAdmitted()) {
			this.reconciler.reconcile(ticket, generatedTokens);
		}
	}

	long nowNanos() {
		return this.clock.nanoTime();
	}

	void recordFirstToken(PolicyGrant grant) {
		withLock(() -> {
			long nowNanos = this.clock.nanoTime();
			if (grant.markResponseStarted(nowNanos)) {
				long durationNanos = nowNanos - grant.startedAtNanos();
				grant.ticket().markResponseStarted();
				grant.ticket().pool().recordFirstToken(grant, durationNanos, nowNanos);
			}
			return null;
		});
	}

	void chargeExcessTokens(PolicyGrant grant, long totalTokens) {
		withLock(() -> {
			this.reconciler.chargeGenerated(grant.ticket(), totalTokens);
			return null;
		});
	}

	void recordLoad(PolicyGrant grant, int running, int slots, long ageMillis) {
		withLock(() -> {
			grant.upstreamState()
				.recordLoadReport(running, slots, TimeUnit.MILLISECONDS.toNanos(ageMillis), this.clock.nanoTime());
			return null;
		});
	}

	void markUpstreamDraining(PolicyGrant grant) {
		withLock(() -> {
			grant.upstreamState().health().recordDraining(this.clock.nanoTime());
			return null;
		});
	}

	void release(PolicyGrant grant, AttemptResult result) {
		withLock(() -> {
			if (grant.markEnded()) {
				long nowNanos = this.clock.nanoTime();
				ServicePool pool = grant.ticket().pool();
				this.admission.recordSlotTime(nowNanos - grant.startedAtNanos());
				pool.recordEnd(grant, result, nowNanos);
				this.dispatcher.dispatch(pool, nowNanos);
			}
			return null;
		});
	}

	@Override
	public void drain() {
		withLock(() -> this.draining = true);
	}

	@Override
	public int unfinishedRequests() {
		return withLock(() -> this.unfinishedCount);
	}

	@Override
	public DemandReport createDemandReport() {
		return withLock(() -> {
			DemandCollector collector = new DemandCollector();
			this.limits.addDemand(collector.demandByLimit(), this.clock.nanoTime());
			this.pools.all().forEach((pool) -> pool.addDemand(collector));
			DemandReport report = collector.toReport();
			this.demandTracker.updateOwnReport(report);
			return report;
		});
	}

	@Override
	public void updatePeerDemand(String host, DemandReport report) {
		withLock(() -> {
			this.demandTracker.updateReport(host, report, this.clock.nanoTime());
			return null;
		});
	}

	@Override
	public void updateHostsSharingLimits(Set<String> hosts) {
		withLock(() -> {
			this.demandTracker.updateHostsSharingLimits(hosts);
			return null;
		});
	}

	void updateHosts(HostSnapshot snapshot) {
		withLock(() -> {
			long nowNanos = this.clock.nanoTime();
			this.pools.updateHosts(snapshot, nowNanos);
			this.pools.all().forEach((pool) -> this.dispatcher.dispatch(pool, nowNanos));
			return null;
		});
	}

	/**
	 * Creates the pool of a service, so that its upstreams are known before the first
	 * request.
	 * @param service the name of the service
	 */
	void addService(String service) {
		long nowNanos = this.clock.nanoTime();
		withLock(() -> this.pools.getOrCreate(service, nowNanos));
	}

	/**
	 * Returns the status of every upstream.
	 * @return the upstreams, sorted by service and host
	 */
	public List<UpstreamStatus> upstreamStatuses() {
		return withLock(() -> this.pools.upstreamStatuses(this.clock.nanoTime()));
	}

	void inspect(Consumer<PoolRegistry> reader) {
		withLock(() -> {
			reader.accept(this.pools);
			return null;
		});
	}

	private <T extends @Nullable Object> T withLock(Supplier<T> action) {
		List<Runnable> callbacks;
		T result;
		this.lock.lock();
		try {
			result = action.get();
		}
		finally {
			callbacks = this.deferredCallbacks.drain();
			this.lock.unlock();
			DeferredCallbacks.runAll(callbacks);
		}
		return result;
	}

}
