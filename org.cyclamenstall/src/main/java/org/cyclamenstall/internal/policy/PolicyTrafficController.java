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
import org.cyclamenstall.internal.policy.limits.LimitBook;
import org.cyclamenstall.internal.policy.limits.LimitShare;
import org.cyclamenstall.internal.policy.limits.PeerDemand;
import org.cyclamenstall.internal.policy.upstream.Upstream;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.DemandExchange;
import org.cyclamenstall.policy.DemandReport;
import org.cyclamenstall.policy.GrantListener;
import org.cyclamenstall.policy.Refusal;
import org.cyclamenstall.policy.RequestFacts;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.Ticket;
import org.cyclamenstall.policy.TrafficController;
import org.jspecify.annotations.Nullable;

/**
 * Decides on requests by the policies that the settings name. Every submitted request is
 * granted, refused or withdrawn exactly once; a slot is held by at most one attempt. One
 * lock guards all state; listeners are called after its release. Thread-safe.
 */
public final class PolicyTrafficController implements TrafficController, DemandExchange {

	private static final Logger logger = LogManager.getLogger(PolicyTrafficController.class);

	private static final long TICK_MILLIS = 20;

	private static final long REFRESH_NANOS = 100_000_000L;

	private final ReentrantLock lock = new ReentrantLock();

	private final Outbox outbox = new Outbox();

	private final WaitingTimers timers = new WaitingTimers();

	private final PeerDemand peers = new PeerDemand();

	private final PolicySet policies;

	private final MonotonicClock clock;

	private final PoolRegistry pools;

	private final LimitBook limits;

	private final LimitSettlement settlement;

	private final Admission admission;

	private final Dispatcher dispatcher;

	private final RetryRule retryRule;

	private final DecisionRecorder recorder;

	private @Nullable ScheduledExecutorService timer;

	private boolean draining;

	private int unfinished;

	private long refreshedAtNanos;

	PolicyTrafficController(PolicySet policies, MonotonicClock clock, PolicyMetrics metrics, DecisionLog log) {
		this.policies = policies;
		this.clock = clock;
		LimitShare share = policies.newLimitShare();
		this.pools = new PoolRegistry(policies, share, this.peers);
		this.limits = new LimitBook(share, this.peers);
		OutputEstimate estimate = new OutputEstimate();
		this.settlement = new LimitSettlement(this.limits, estimate);
		this.admission = new Admission(this.limits, estimate, policies.settings().queueLength());
		this.recorder = new DecisionRecorder(metrics, log);
		this.dispatcher = new Dispatcher(this, policies, this.recorder, this.outbox);
		this.retryRule = new RetryRule(policies.settings(), policies.random());
	}

	@Override
	public void start() {
		ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread thread = new Thread(task, "policy-timer");
			thread.setDaemon(true);
			return thread;
		});
		executor.scheduleWithFixedDelay(this::tickSafely, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
		this.timer = executor;
	}

	@Override
	public void close() {
		if (this.timer != null) {
			this.timer.shutdownNow();
		}
	}

	private void tickSafely() {
		try {
			tick(this.clock.nanoTime());
		}
		catch (RuntimeException ex) {
			logger.error("The timer of the traffic controller failed", ex);
		}
	}

	/**
	 * Does what is due: deadlines, delayed retries, ends of ejections.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void tick(long nowNanos) {
		decide(() -> {
			this.timers.due(nowNanos, (ticket) -> ticket.pool().queue().addFirst(ticket),
					(ticket) -> refuseWaiting(ticket, ErrorKind.DEADLINE_EXCEEDED, nowNanos));
			boolean refresh = nowNanos - this.refreshedAtNanos >= REFRESH_NANOS;
			if (refresh) {
				this.refreshedAtNanos = nowNanos;
				refresh(nowNanos);
			}
			this.pools.all().forEach((pool) -> this.dispatcher.dispatch(pool, nowNanos));
			return null;
		});
	}

	private void refresh(long nowNanos) {
		this.peers.expire(nowNanos);
		for (ServicePool pool : this.pools.all()) {
			pool.refresh(nowNanos);
			if (pool.isWithoutLive(nowNanos)) {
				pool.queue().all().forEach((ticket) -> refuseWaiting(ticket, ErrorKind.NO_LIVE_UPSTREAM, nowNanos));
			}
		}
	}

	@Override
	public Ticket submit(RequestFacts facts, GrantListener listener) {
		PolicyTicket ticket = new PolicyTicket(this, facts);
		decide(() -> {
			long nowNanos = this.clock.nanoTime();
			this.unfinished++;
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
		RequestFacts facts = ticket.facts();
		String service = facts.terms().service();
		ServicePool pool = (service != null) ? this.pools.of(service, nowNanos) : null;
		if (pool == null || !pool.hasLive(nowNanos)) {
			return ErrorKind.NO_LIVE_UPSTREAM;
		}
		double tokens = this.admission.expectedTokens(facts);
		ErrorKind refusal = this.admission.admit(facts, tokens, nowNanos);
		if (refusal != null) {
			return refusal;
		}
		ticket.admitted(pool, tokens);
		this.retryRule.firstAttempt();
		this.admission.setDeadline(ticket, facts.arrivalNanos());
		return enqueue(ticket, pool, nowNanos);
	}

	private @Nullable ErrorKind enqueue(PolicyTicket ticket, ServicePool pool, long nowNanos) {
		if (this.admission.isUnreachable(ticket, pool, nowNanos)) {
			return ErrorKind.DEADLINE_UNREACHABLE;
		}
		if ((this.admission.isFull(pool, ticket.tier()) || this.admission.isCrowded(pool))
				&& !makeRoom(ticket, pool, nowNanos) && ticket.tier() != Tier.INTERACTIVE) {
			return ErrorKind.QUEUE_FULL;
		}
		pool.queue().add(ticket);
		pool.demandChanged(nowNanos);
		this.timers.expireAtDeadline(ticket);
		this.dispatcher.dispatch(pool, nowNanos);
		if (ticket.isWaiting()) {
			this.recorder.queued(ticket, nowNanos);
		}
		return null;
	}

	private boolean makeRoom(PolicyTicket ticket, ServicePool pool, long nowNanos) {
		PolicyTicket victim = pool.queue().victimFor(ticket.tier());
		if (victim == null) {
			return false;
		}
		Tier lowest = pool.lowestSheddable();
		stoppedWaiting(victim);
		pool.queue().remove(victim);
		this.recorder.shed(victim, ticket.tier(), lowest, nowNanos);
		tellRefused(victim, ErrorKind.SHED);
		return true;
	}

	void stoppedWaiting(PolicyTicket ticket) {
		this.timers.stop(ticket);
	}

	private void refuseWaiting(PolicyTicket ticket, ErrorKind kind, long nowNanos) {
		stoppedWaiting(ticket);
		ticket.pool().queue().remove(ticket);
		refuse(ticket, kind, nowNanos);
	}

	private void refuse(PolicyTicket ticket, ErrorKind kind, long nowNanos) {
		this.recorder.refused(ticket, kind, ticket.isAdmitted() ? ticket.pool().lowestSheddable() : null, nowNanos);
		tellRefused(ticket, kind);
	}

	private void tellRefused(PolicyTicket ticket, ErrorKind kind) {
		GrantListener listener = ticket.stopWaiting();
		if (ticket.attempts() == 0) {
			settle(ticket, 0);
		}
		Refusal refusal = new Refusal(kind, RefusalDetail.of(kind, ticket.facts()));
		this.outbox.add(() -> listener.refused(refusal));
	}

	boolean withdraw(PolicyTicket ticket) {
		return decide(() -> {
			if (!ticket.isWaiting()) {
				return false;
			}
			stoppedWaiting(ticket);
			ticket.pool().queue().remove(ticket);
			ticket.stopWaiting();
			if (ticket.attempts() == 0) {
				settle(ticket, 0);
			}
			return true;
		});
	}

	RetryDecision retry(PolicyTicket ticket, RetryReason reason, GrantListener listener) {
		return decide(() -> {
			long nowNanos = this.clock.nanoTime();
			RetryDecision decision = ticket.isWaiting() ? RetryDecision.ATTEMPTS_EXHAUSTED
					: this.retryRule.decide(ticket, reason, nowNanos);
			this.recorder.metrics().retried(reason, decision);
			if (decision == RetryDecision.GRANTED) {
				waitAgain(ticket, reason, listener, nowNanos);
			}
			return decision;
		});
	}

	private void waitAgain(PolicyTicket ticket, RetryReason reason, GrantListener listener, long nowNanos) {
		ticket.startWaiting(listener, nowNanos);
		ticket.clearDeadline();
		if (!ticket.isAnsweredInPart()) {
			this.admission.setDeadline(ticket, nowNanos);
			this.timers.expireAtDeadline(ticket);
		}
		long pauseNanos = this.retryRule.pauseNanos(ticket, reason);
		if (pauseNanos > 0) {
			this.timers.joinQueueAt(ticket, nowNanos + pauseNanos);
			return;
		}
		ticket.pool().queue().addFirst(ticket);
		this.dispatcher.dispatch(ticket.pool(), nowNanos);
	}

	Optional<Duration> hedgeDelay(PolicyTicket ticket) {
		return decide(() -> this.policies.hedges() ? this.retryRule.hedgeDelay(ticket) : Optional.empty());
	}

	RetryDecision hedge(PolicyTicket ticket, GrantListener listener) {
		return decide(() -> {
			long nowNanos = this.clock.nanoTime();
			RetryDecision decision = tryHedge(ticket, listener, nowNanos);
			this.recorder.metrics().retried(RetryReason.HEDGE, decision);
			return decision;
		});
	}

	private RetryDecision tryHedge(PolicyTicket ticket, GrantListener listener, long nowNanos) {
		ServicePool pool = ticket.pool();
		if (!this.policies.hedges() || ticket.isWaiting() || pool.queue().size(ticket.tier()) > 0
				|| !pool.hasOtherLive(ticket, nowNanos)) {
			return RetryDecision.NO_UPSTREAM;
		}
		Upstream upstream = pool.findUpstream(ticket, false, nowNanos);
		if (upstream == null) {
			return RetryDecision.NO_UPSTREAM;
		}
		RetryDecision decision = this.retryRule.decide(ticket, RetryReason.HEDGE, nowNanos);
		if (decision == RetryDecision.GRANTED) {
			ticket.startWaiting(listener, nowNanos);
			ticket.stopWaiting();
			this.dispatcher.start(ticket, listener, upstream, DecisionType.HEDGED, nowNanos);
		}
		return decision;
	}

	void finish(PolicyTicket ticket, long generatedTokens) {
		decide(() -> {
			settle(ticket, generatedTokens);
			return null;
		});
	}

	private void settle(PolicyTicket ticket, long generatedTokens) {
		if (!ticket.finishOnce()) {
			return;
		}
		this.unfinished--;
		if (ticket.isAdmitted()) {
			this.settlement.ended(ticket, generatedTokens);
		}
	}

	long nowNanos() {
		return this.clock.nanoTime();
	}

	void firstToken(PolicyGrant grant) {
		decide(() -> {
			long nowNanos = this.clock.nanoTime();
			if (grant.startAnswering(nowNanos)) {
				long duration = nowNanos - grant.startedAtNanos();
				grant.ticket().answeredInPart();
				grant.ticket().pool().firstToken(grant, duration, nowNanos);
			}
			return null;
		});
	}

	void tokensBeyondCharge(PolicyGrant grant, long total) {
		decide(() -> {
			this.settlement.generated(grant.ticket(), total);
			return null;
		});
	}

	void loadReported(PolicyGrant grant, int running, int slots, long ageMillis) {
		decide(() -> {
			grant.upstreamState()
				.loadReported(running, slots, TimeUnit.MILLISECONDS.toNanos(ageMillis), this.clock.nanoTime());
			return null;
		});
	}

	void upstreamDraining(PolicyGrant grant) {
		decide(() -> {
			grant.upstreamState().health().draining(this.clock.nanoTime());
			return null;
		});
	}

	void ended(PolicyGrant grant, AttemptResult result) {
		decide(() -> {
			if (grant.end()) {
				long nowNanos = this.clock.nanoTime();
				ServicePool pool = grant.ticket().pool();
				this.admission.occupied(nowNanos - grant.startedAtNanos());
				pool.ended(grant, result, nowNanos);
				this.dispatcher.dispatch(pool, nowNanos);
			}
			return null;
		});
	}

	@Override
	public void drain() {
		decide(() -> this.draining = true);
	}

	@Override
	public int unfinished() {
		return decide(() -> this.unfinished);
	}

	@Override
	public DemandReport localDemand() {
		return decide(() -> {
			DemandCollector collector = new DemandCollector();
			this.limits.addDemand(collector.demandByLimit(), this.clock.nanoTime());
			this.pools.all().forEach((pool) -> pool.addDemand(collector));
			DemandReport report = collector.report();
			this.peers.updateOwnReport(report);
			return report;
		});
	}

	@Override
	public void peerDemand(String host, DemandReport report) {
		decide(() -> {
			this.peers.updateReport(host, report, this.clock.nanoTime());
			return null;
		});
	}

	@Override
	public void liveHosts(Set<String> names) {
		decide(() -> {
			this.peers.updateLiveHosts(names);
			return null;
		});
	}

	void hostsChanged(HostSnapshot newer) {
		decide(() -> {
			long nowNanos = this.clock.nanoTime();
			this.pools.listed(newer, nowNanos);
			this.pools.all().forEach((pool) -> this.dispatcher.dispatch(pool, nowNanos));
			return null;
		});
	}

	/**
	 * Takes a service of the catalogue, so that its upstreams are known before its first
	 * request.
	 * @param service the name of the service
	 */
	void watch(String service) {
		long nowNanos = this.clock.nanoTime();
		decide(() -> this.pools.of(service, nowNanos));
	}

	/**
	 * Describes every upstream; changes nothing.
	 * @return the upstreams in order of service and host
	 */
	public List<UpstreamUse> upstreamUse() {
		return decide(() -> this.pools.upstreamUse(this.clock.nanoTime()));
	}

	void read(Consumer<PoolRegistry> reader) {
		decide(() -> {
			reader.accept(this.pools);
			return null;
		});
	}

	private <T extends @Nullable Object> T decide(Supplier<T> decision) {
		List<Runnable> calls;
		T result;
		this.lock.lock();
		try {
			result = decision.get();
		}
		finally {
			calls = this.outbox.take();
			this.lock.unlock();
			Outbox.deliver(calls);
		}
		return result;
	}

}
