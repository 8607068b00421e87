package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.hosts.HostList;
import org.cyclamenstall.hosts.HostSnapshot;
import org.cyclamenstall.internal.policy.Outbox;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.GrantListener;
import org.cyclamenstall.policy.Refusal;
import org.cyclamenstall.policy.RequestFacts;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.Ticket;
import org.cyclamenstall.policy.TrafficController;
import org.jspecify.annotations.Nullable;

/**
 * Places each request on the upstream where it costs least, and lets it wait here while
 * the upstreams hold as much as they can begin on time. Further attempts are placed at
 * once. One lock guards all state; listeners are called after its release. Thread-safe.
 */
public final class PlacementTrafficController implements TrafficController {

	private static final Logger logger = LogManager.getLogger(PlacementTrafficController.class);

	private static final int PROVEN_RETRIES = 3;

	private static final String FIRST_ATTEMPT = "first";

	private static final long TICK_MILLIS = 50;

	private final Map<String, PlacementPool> pools = new HashMap<>();

	private final Outbox outbox = new Outbox();

	private final PlacementSettings settings;

	private final String failureDomain;

	private final HostList hosts;

	private final MonotonicClock clock;

	private final UniformRandomProvider random;

	private final OverloadRule overload;

	private final EventLog events;

	private final PlacementMetrics metrics;

	private HostSnapshot snapshot = HostSnapshot.EMPTY;

	private @Nullable ScheduledExecutorService timer;

	private boolean tickScheduled;

	private boolean draining;

	private int unfinished;

	private long sequence;

	/**
	 * Creates a controller.
	 * @param settings the bounds
	 * @param hosts the platform's list of hosts
	 * @param failureDomain the failure domain of this daemon
	 * @param clock the monotonic clock
	 * @param random the source of randomness
	 * @param events takes the events
	 * @param registry takes the metrics
	 */
	public PlacementTrafficController(PlacementSettings settings, HostList hosts, String failureDomain,
			MonotonicClock clock, UniformRandomProvider random, EventLog events, PrometheusRegistry registry) {
		this.settings = settings;
		this.hosts = hosts;
		this.failureDomain = failureDomain;
		this.clock = clock;
		this.random = random;
		this.overload = new OverloadRule(random);
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
		this.hosts.addListener(this::hostsChanged);
		hostsChanged(this.hosts.current());
	}

	@Override
	public void close() {
		if (this.timer != null) {
			this.timer.shutdownNow();
		}
	}

	@Override
	public Ticket submit(RequestFacts facts, GrantListener listener) {
		return decide(() -> {
			this.unfinished++;
			this.sequence++;
			PlacementTicket ticket = new PlacementTicket(this, facts, listener, this.sequence);
			first(ticket, this.clock.nanoTime());
			return ticket;
		});
	}

	private void first(PlacementTicket ticket, long nowNanos) {
		PlacementPool pool = poolOf(ticket);
		if (this.draining) {
			refuse(ticket, new Refusal(ErrorKind.SHUTTING_DOWN, "The daemon is shutting down", Duration.ofMillis(50)));
			return;
		}
		if (!pool.hasLive()) {
			refuse(ticket, new Refusal(ErrorKind.NO_LIVE_UPSTREAM,
					"No live upstream serves entry " + ticket.facts().entry().name()));
			return;
		}
		pool.requested(ticket.facts(), nowNanos);
		pool.waiting().add(ticket);
		double waitNanos = pool.waitNanos(pool.waiting().workAhead(ticket), nowNanos);
		if (this.overload.isHopeless(waitNanos, ticket.leftNanos(nowNanos), ticket.wholeNanos())) {
			pool.waiting().remove(ticket);
			giveUp(ticket, waitNanos, nowNanos);
			return;
		}
		serve(pool, nowNanos);
		if (ticket.tried().isEmpty()) {
			this.events.record(new Event.RequestQueued(ticket.facts().requestId(), ticket.facts().entry().name(),
					ticket.priority(), pool.waiting().size(), Math.round(pool.waiting().work())));
			scheduleTick();
		}
	}

	private void serve(PlacementPool pool, long nowNanos) {
		if (pool.waiting().size() == 0) {
			return;
		}
		pool.waiting().serve((ticket) -> {
			PlacedUpstream upstream = pool.chooseFirst(ticket, nowNanos);
			if (upstream != null) {
				this.metrics.waited(ticket.facts().tier(), nowNanos - ticket.facts().arrivalNanos());
				grant(ticket, ticket.listener(), upstream, FIRST_ATTEMPT, nowNanos);
			}
			return upstream != null;
		});
	}

	private void giveUp(PlacementTicket ticket, double waitNanos, long nowNanos) {
		refuse(ticket,
				new Refusal(ErrorKind.UPSTREAMS_FULL,
						"The upstreams of entry " + ticket.facts().entry().name() + " cannot answer in time",
						this.overload.returnAfter(waitNanos, ticket.leftNanos(nowNanos))));
	}

	private void refuse(PlacementTicket ticket, Refusal refusal) {
		this.outbox.add(() -> ticket.listener().refused(refusal));
	}

	private void scheduleTick() {
		if (!this.tickScheduled && this.timer != null) {
			this.tickScheduled = true;
			this.timer.schedule(this::tickSafely, TICK_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void tickSafely() {
		try {
			tick();
		}
		catch (RuntimeException ex) {
			logger.error("The timer of the placement failed", ex);
		}
	}

	/**
	 * Looks at the requests that wait: which are late, which are given up, which fit now.
	 */
	public void tick() {
		decide(() -> {
			long nowNanos = this.clock.nanoTime();
			this.tickScheduled = false;
			for (PlacementPool pool : this.pools.values()) {
				pool.waiting().markOverdue(nowNanos);
				serve(pool, nowNanos);
				giveUpHopeless(pool, nowNanos);
			}
			if (this.pools.values().stream().anyMatch((pool) -> pool.waiting().size() > 0)) {
				scheduleTick();
			}
			return true;
		});
	}

	private void giveUpHopeless(PlacementPool pool, long nowNanos) {
		double workAhead = 0;
		for (PlacementTicket ticket : pool.waiting().all()) {
			double waitNanos = pool.waitNanos(workAhead, nowNanos);
			if (this.overload.isHopeless(waitNanos, ticket.leftNanos(nowNanos), ticket.wholeNanos())) {
				pool.waiting().remove(ticket);
				giveUp(ticket, waitNanos, nowNanos);
			}
			else {
				workAhead += ticket.work();
			}
		}
	}

	boolean withdraw(PlacementTicket ticket) {
		return decide(() -> poolOf(ticket).waiting().remove(ticket));
	}

	RetryDecision retry(PlacementTicket ticket, RetryReason reason, GrantListener listener) {
		return decide(() -> {
			RetryDecision decision = tryAgain(ticket, reason, listener, this.clock.nanoTime());
			this.metrics.retried(reason, decision);
			return decision;
		});
	}

	private RetryDecision tryAgain(PlacementTicket ticket, RetryReason reason, GrantListener listener, long nowNanos) {
		if (ticket.unprovenAttempts() >= ticket.facts().terms().maximumAttempts()
				|| ticket.provenAttempts() > PROVEN_RETRIES) {
			return RetryDecision.ATTEMPTS_EXHAUSTED;
		}
		PlacementPool pool = poolOf(ticket);
		PlacedUpstream upstream = pool.chooseAgain(ticket, nowNanos);
		if (upstream == null) {
			return RetryDecision.NO_UPSTREAM;
		}
		boolean arrived = reason != RetryReason.UNREACHABLE;
		if (arrived && !pool.budget().take(nowNanos)) {
			return RetryDecision.BUDGET_SPENT;
		}
		grant(ticket, listener, upstream, reason.label(), nowNanos);
		return RetryDecision.GRANTED;
	}

	private void grant(PlacementTicket ticket, GrantListener listener, PlacedUpstream upstream, String reason,
			long nowNanos) {
		PlacementGrant grant = new PlacementGrant(this, ticket, upstream, nowNanos);
		this.events.record(placed(grant, reason, nowNanos));
		poolOf(ticket).started(grant, nowNanos);
		this.outbox.add(() -> listener.granted(grant));
	}

	private Event placed(PlacementGrant grant, String reason, long nowNanos) {
		RequestFacts facts = grant.facts();
		PlacedUpstream upstream = grant.placed();
		return new Event.RequestPlaced(facts.requestId(), facts.entry().name(), facts.account().name(),
				facts.terms().priority(), grant.attempt(), reason, upstream.host().host(), facts.promptTokens(),
				upstream.uncachedTokens(facts.terms().prompt()), Math.round(upstream.unreadBefore(facts)),
				upstream.inFlight(), poolOf(grant.ticket()).size(),
				TimeUnit.NANOSECONDS.toMillis(nowNanos - facts.arrivalNanos()));
	}

	void firstToken(PlacementGrant grant) {
		decide(() -> {
			if (grant.startAnswering()) {
				long nowNanos = this.clock.nanoTime();
				PlacementPool pool = poolOf(grant.ticket());
				pool.firstEvent(grant, nowNanos);
				serve(pool, nowNanos);
			}
			return true;
		});
	}

	void streamed(PlacementGrant grant) {
		synchronized (this) {
			grant.streamed(this.clock.nanoTime());
		}
	}

	void ended(PlacementGrant grant, AttemptResult result) {
		decide(() -> {
			if (grant.end()) {
				long nowNanos = this.clock.nanoTime();
				grant.ticket()
					.attemptEnded(result == AttemptResult.UNREACHABLE || result == AttemptResult.REFUSED
							|| result == AttemptResult.NOT_SENT);
				PlacementPool pool = poolOf(grant.ticket());
				pool.ended(grant, result, nowNanos);
				serve(pool, nowNanos);
			}
			return true;
		});
	}

	void finish(PlacementTicket ticket) {
		decide(() -> {
			this.unfinished -= ticket.finishOnce() ? 1 : 0;
			return true;
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

	private void hostsChanged(HostSnapshot newer) {
		decide(() -> {
			this.snapshot = newer;
			this.pools.forEach((service, pool) -> {
				pool.listed(newer.hosts(service), this.clock.nanoTime());
				serve(pool, this.clock.nanoTime());
			});
			return true;
		});
	}

	private PlacementPool poolOf(PlacementTicket ticket) {
		String named = ticket.facts().terms().service();
		String service = (named != null) ? named : "";
		PlacementPool pool = this.pools.get(service);
		if (pool == null) {
			pool = new PlacementPool(new LeastCostPlacement(this.failureDomain, this.random),
					Duration.ofMillis(this.settings.retryWindowMillis()), this.settings.retryShare(),
					this.settings.retryFloor(), this.events);
			pool.listed(this.snapshot.hosts(service), this.clock.nanoTime());
			this.pools.put(service, pool);
		}
		return pool;
	}

	private <T> T decide(Supplier<T> decision) {
		List<Runnable> calls;
		T result;
		synchronized (this) {
			result = decision.get();
			calls = this.outbox.take();
		}
		Outbox.deliver(calls);
		return result;
	}

}
