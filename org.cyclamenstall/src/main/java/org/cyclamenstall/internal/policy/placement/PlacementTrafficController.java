package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.hosts.HostList;
import org.cyclamenstall.hosts.HostSnapshot;
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
 * Places each request at once on the upstream where it costs least; waiting and order are
 * left to upstreams that queue by priority. One lock guards all state; listeners are
 * called after its release. Thread-safe.
 */
public final class PlacementTrafficController implements TrafficController {

	private static final int PROVEN_RETRIES = 3;

	private static final String FIRST_ATTEMPT = "first";

	private final Map<String, PlacementPool> pools = new HashMap<>();

	private final PlacementSettings settings;

	private final String failureDomain;

	private final HostList hosts;

	private final MonotonicClock clock;

	private final UniformRandomProvider random;

	private final EventLog events;

	private HostSnapshot snapshot = HostSnapshot.EMPTY;

	private boolean draining;

	private int unfinished;

	/**
	 * Creates a controller.
	 * @param settings the bounds
	 * @param hosts the platform's list of hosts
	 * @param failureDomain the failure domain of this daemon
	 * @param clock the monotonic clock
	 * @param random the source of randomness
	 * @param events takes the events
	 */
	public PlacementTrafficController(PlacementSettings settings, HostList hosts, String failureDomain,
			MonotonicClock clock, UniformRandomProvider random, EventLog events) {
		this.settings = settings;
		this.hosts = hosts;
		this.failureDomain = failureDomain;
		this.clock = clock;
		this.random = random;
		this.events = events;
	}

	@Override
	public void start() {
		this.hosts.addListener(this::hostsChanged);
		hostsChanged(this.hosts.current());
	}

	@Override
	public void close() {
	}

	@Override
	public Ticket submit(RequestFacts facts, GrantListener listener) {
		PlacementTicket ticket = new PlacementTicket(this, facts);
		Runnable call = decide(() -> {
			this.unfinished++;
			return first(ticket, listener, this.clock.nanoTime());
		});
		call.run();
		return ticket;
	}

	private Runnable first(PlacementTicket ticket, GrantListener listener, long nowNanos) {
		if (this.draining) {
			return () -> listener.refused(new Refusal(ErrorKind.SHUTTING_DOWN, "The daemon is shutting down"));
		}
		PlacementPool pool = poolOf(ticket);
		pool.budget().requested(nowNanos);
		PlacedUpstream upstream = pool.choose(ticket, nowNanos);
		if (upstream == null) {
			return () -> listener.refused(new Refusal(ErrorKind.NO_LIVE_UPSTREAM,
					"No live upstream serves entry " + ticket.facts().entry().name()));
		}
		return grant(ticket, listener, upstream, FIRST_ATTEMPT, nowNanos);
	}

	RetryDecision retry(PlacementTicket ticket, RetryReason reason, GrantListener listener) {
		List<Runnable> calls = new ArrayList<>(1);
		RetryDecision decision = decide(() -> tryAgain(ticket, reason, listener, calls));
		calls.forEach(Runnable::run);
		return decision;
	}

	private RetryDecision tryAgain(PlacementTicket ticket, RetryReason reason, GrantListener listener,
			List<Runnable> calls) {
		long nowNanos = this.clock.nanoTime();
		if (ticket.unprovenAttempts() >= ticket.facts().terms().maximumAttempts()
				|| ticket.provenAttempts() > PROVEN_RETRIES) {
			return RetryDecision.ATTEMPTS_EXHAUSTED;
		}
		PlacementPool pool = poolOf(ticket);
		PlacedUpstream upstream = pool.choose(ticket, nowNanos);
		if (upstream == null) {
			return RetryDecision.NO_UPSTREAM;
		}
		boolean arrived = reason != RetryReason.UNREACHABLE;
		if (arrived && !pool.budget().take(nowNanos)) {
			return RetryDecision.BUDGET_SPENT;
		}
		calls.add(grant(ticket, listener, upstream, reason.label(), nowNanos));
		return RetryDecision.GRANTED;
	}

	private Runnable grant(PlacementTicket ticket, GrantListener listener, PlacedUpstream upstream, String reason,
			long nowNanos) {
		PlacementGrant grant = new PlacementGrant(this, ticket, upstream, nowNanos);
		this.events.record(placed(grant, reason, nowNanos));
		ticket.tried().add(upstream);
		upstream.started(grant);
		return () -> listener.granted(grant);
	}

	private Event placed(PlacementGrant grant, String reason, long nowNanos) {
		RequestFacts facts = grant.facts();
		PlacedUpstream upstream = grant.placed();
		return new Event.RequestPlaced(facts.requestId(), facts.entry().name(), facts.account().name(),
				facts.terms().priority(), grant.attempt(), reason, upstream.host().host(), facts.promptTokens(),
				grant.unreadTokens(), upstream.unreadTokens(), upstream.inFlight(), poolOf(grant.ticket()).size(),
				TimeUnit.NANOSECONDS.toMillis(nowNanos - facts.arrivalNanos()));
	}

	void firstToken(PlacementGrant grant) {
		decide(() -> {
			if (grant.startAnswering()) {
				poolOf(grant.ticket()).firstEvent(grant, this.clock.nanoTime());
			}
			return true;
		});
	}

	void heard(PlacementGrant grant) {
		decide(() -> {
			grant.placed().heard(this.clock.nanoTime());
			return true;
		});
	}

	void ended(PlacementGrant grant, AttemptResult result) {
		decide(() -> {
			if (grant.end()) {
				grant.ticket()
					.attemptEnded(result == AttemptResult.UNREACHABLE || result == AttemptResult.REFUSED
							|| result == AttemptResult.NOT_SENT);
				poolOf(grant.ticket()).ended(grant, result, this.clock.nanoTime());
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
			this.pools.forEach((service, pool) -> pool.listed(newer.hosts(service)));
			return true;
		});
	}

	private PlacementPool poolOf(PlacementTicket ticket) {
		@Nullable String named = ticket.facts().terms().service();
		String service = (named != null) ? named : "";
		PlacementPool pool = this.pools.get(service);
		if (pool == null) {
			pool = new PlacementPool(new LeastCostPlacement(this.failureDomain, this.random),
					Duration.ofMillis(this.settings.retryWindowMillis()), this.settings.retryShare(),
					this.settings.retryFloor(), this.events);
			pool.listed(this.snapshot.hosts(service));
			this.pools.put(service, pool);
		}
		return pool;
	}

	private synchronized <T> T decide(Supplier<T> decision) {
		return decision.get();
	}

}
