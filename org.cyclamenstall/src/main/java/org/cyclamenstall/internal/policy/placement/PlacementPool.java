package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.policy.upstream.MovingAverage;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.RequestFacts;
import org.jspecify.annotations.Nullable;

/**
 * Holds the upstreams of one service and the requests that wait for them. Not
 * thread-safe: the controller's lock guards it.
 */
final class PlacementPool {

	/** The time in which upstreams take at least what fits their windows. */
	private static final double WINDOW_NANOS = 1e9;

	/** How long a division of the engines stands at least. */
	private static final long DIVISION_NANOS = 250_000_000L;

	private static final double USUAL_WEIGHT = 0.05;

	/** An engine's memory where the configuration does not tell it. */
	private static final long DEFAULT_MEMORY_TOKENS = 500_000;

	private final Map<String, PlacedUpstream> upstreamsByName = new LinkedHashMap<>();

	private final Map<String, MovingAverage> usualFirstNanos = new HashMap<>();

	private final WaitingRequests waiting = new WaitingRequests();

	private final ReleaseRate rate = new ReleaseRate();

	private final Placement placement;

	private EngineDivision division = new EngineDivision(List.of(), 0);

	private final QuietDemand quietDemand = new QuietDemand();

	private long dividedAtNanos;

	private final WindowedRetryBudget budget;

	private final EventLog events;

	PlacementPool(Placement placement, Duration budgetWindow, double budgetShare, int budgetFloor, EventLog events) {
		this.events = events;
		this.placement = placement;
		this.budget = new WindowedRetryBudget(budgetWindow, budgetShare, budgetFloor);
	}

	void listed(List<ListedHost> hosts, long nowNanos) {
		Map<String, PlacedUpstream> earlier = new LinkedHashMap<>(this.upstreamsByName);
		this.upstreamsByName.clear();
		for (ListedHost host : hosts) {
			PlacedUpstream known = earlier.get(host.host());
			if (known != null) {
				known.listed(host);
			}
			this.upstreamsByName.put(host.host(),
					(known != null) ? known : new PlacedUpstream(host, DEFAULT_MEMORY_TOKENS));
		}
		divide(nowNanos);
	}

	/**
	 * Counts a new request.
	 * @param facts what is known of it
	 * @param nowNanos the time on the monotonic clock
	 */
	void requested(RequestFacts facts, long nowNanos) {
		this.budget.requested(nowNanos);
		if (facts.promptTokens() > 0) {
			this.quietDemand.requested(facts, nowNanos);
		}
		if (nowNanos - this.dividedAtNanos > DIVISION_NANOS) {
			divide(nowNanos);
		}
	}

	private void divide(long nowNanos) {
		this.dividedAtNanos = nowNanos;
		List<PlacedUpstream> live = this.upstreamsByName.values().stream().filter(PlacedUpstream::isLive).toList();
		this.division = new EngineDivision(live,
				this.quietDemand.quietEngines(live.size(), this.division.quietCount(), nowNanos));
	}

	int size() {
		return this.upstreamsByName.size();
	}

	WindowedRetryBudget budget() {
		return this.budget;
	}

	WaitingRequests waiting() {
		return this.waiting;
	}

	boolean hasLive() {
		return this.upstreamsByName.values().stream().anyMatch(PlacedUpstream::isLive);
	}

	/**
	 * Chooses the upstream of a further attempt, whatever work it holds.
	 * @param ticket the request
	 * @param nowNanos the time on the monotonic clock
	 * @return the upstream, or {@code null} if every live one was tried
	 */
	@Nullable PlacedUpstream chooseAgain(PlacementTicket ticket, long nowNanos) {
		return choose(ticket, (upstream) -> true, nowNanos);
	}

	/**
	 * Chooses the upstream of a first attempt among those that have room.
	 * @param ticket the request
	 * @param nowNanos the time on the monotonic clock
	 * @return the upstream, or {@code null} if the request must wait
	 */
	@Nullable PlacedUpstream chooseFirst(PlacementTicket ticket, long nowNanos) {
		return choose(ticket, (upstream) -> upstream.hasRoom(ticket, nowNanos), nowNanos);
	}

	private @Nullable PlacedUpstream choose(PlacementTicket ticket, Predicate<PlacedUpstream> hasRoom, long nowNanos) {
		List<PlacedUpstream> untried = new ArrayList<>();
		List<PlacedUpstream> trusted = new ArrayList<>();
		for (PlacedUpstream upstream : this.upstreamsByName.values()) {
			if (!upstream.isLive() || ticket.tried().contains(upstream)) {
				continue;
			}
			untried.add(upstream);
			boolean busyTrial = upstream.trust().isOnTrial(nowNanos) && upstream.inFlight() > 0;
			if (!upstream.trust().isPaused(nowNanos) && !busyTrial) {
				trusted.add(upstream);
			}
		}
		return this.placement.choose(trusted.isEmpty() ? untried : trusted, hasRoom, this.division, ticket.facts(),
				nowNanos);
	}

	void started(PlacementGrant grant, long nowNanos) {
		this.rate.released(grant.ticket().work(), nowNanos);
		grant.ticket().tried().add(grant.placed());
		grant.placed().started(grant);
	}

	/**
	 * Estimates how long a request waits behind an amount of work.
	 * @param work the work, in prompt tokens
	 * @param nowNanos the time on the monotonic clock
	 * @return the time in nanoseconds
	 */
	double waitNanos(double work, long nowNanos) {
		double windows = this.upstreamsByName.values()
			.stream()
			.filter(PlacedUpstream::isLive)
			.mapToDouble((upstream) -> upstream.window().size())
			.sum();
		double byWindows = (windows > 0) ? work / windows * WINDOW_NANOS : Double.MAX_VALUE;
		return Math.min(byWindows, this.rate.nanosFor(work, nowNanos));
	}

	void firstEvent(PlacementGrant grant, long nowNanos) {
		MovingAverage usual = usual(grant.facts());
		long durationNanos = nowNanos - grant.startedAtNanos();
		if (usual.samples() > 0) {
			grant.placed().slowness().record(durationNanos / usual.valueOr(durationNanos), nowNanos);
		}
		usual.add(durationNanos);
		grant.placed().heard(nowNanos);
		grant.placed().read(grant);
		Duration objective = grant.facts().terms().objective();
		if (objective != null) {
			grant.placed().window().firstEvent(durationNanos / (double) objective.toNanos(), nowNanos);
		}
	}

	void ended(PlacementGrant grant, AttemptResult result, long nowNanos) {
		PlacedUpstream upstream = grant.placed();
		upstream.ended(grant);
		boolean paused = upstream.trust().isPaused(nowNanos);
		boolean distrusted = paused || upstream.trust().isOnTrial(nowNanos);
		judge(upstream, result, nowNanos);
		if (distrusted && result == AttemptResult.COMPLETED) {
			this.events.record(new Event.UpstreamTrusted(upstream.host().host()));
		}
		else if (!paused && upstream.trust().isPaused(nowNanos)) {
			this.events.record(new Event.UpstreamPaused(upstream.host().host(), result.name(),
					upstream.trust().failureShare(nowNanos), upstream.trust().restOfPauseMillis(nowNanos)));
		}
	}

	private static void judge(PlacedUpstream upstream, AttemptResult result, long nowNanos) {
		switch (result) {
			case COMPLETED -> {
				upstream.heard(nowNanos);
				upstream.trust().succeeded(nowNanos);
			}
			case UNREACHABLE -> upstream.trust().unreachable(nowNanos);
			case REFUSED -> upstream.heard(nowNanos);
			case FAILED, ANSWER_INVALID -> {
				upstream.heard(nowNanos);
				upstream.trust().failed(nowNanos);
			}
			case TIMED_OUT, CONNECTION_LOST -> {
				upstream.trust().failed(nowNanos);
				upstream.window().firstEvent(LoadWindow.NEVER, nowNanos);
			}
			default -> {
			}
		}
	}

	private MovingAverage usual(RequestFacts facts) {
		return this.usualFirstNanos.computeIfAbsent(facts.entry().name(), (name) -> new MovingAverage(USUAL_WEIGHT));
	}

}
