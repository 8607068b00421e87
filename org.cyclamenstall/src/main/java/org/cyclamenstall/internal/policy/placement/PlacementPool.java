package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.policy.upstream.MovingAverage;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.RequestFacts;
import org.jspecify.annotations.Nullable;

/**
 * Holds the upstreams of one service. Not thread-safe: the controller's lock guards it.
 */
final class PlacementPool {

	private static final double USUAL_WEIGHT = 0.05;

	/** An engine's memory where the configuration does not tell it. */
	private static final long DEFAULT_MEMORY_TOKENS = 500_000;

	private final Map<String, PlacedUpstream> upstreamsByName = new LinkedHashMap<>();

	private final Map<String, MovingAverage> usualFirstNanos = new HashMap<>();

	private final Placement placement;

	private EngineDivision division = new EngineDivision(List.of());

	private final WindowedRetryBudget budget;

	private final EventLog events;

	PlacementPool(Placement placement, Duration budgetWindow, double budgetShare, int budgetFloor, EventLog events) {
		this.events = events;
		this.placement = placement;
		this.budget = new WindowedRetryBudget(budgetWindow, budgetShare, budgetFloor);
	}

	void listed(List<ListedHost> hosts) {
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
		this.division = new EngineDivision(
				this.upstreamsByName.values().stream().filter(PlacedUpstream::isLive).toList());
	}

	int size() {
		return this.upstreamsByName.size();
	}

	WindowedRetryBudget budget() {
		return this.budget;
	}

	/**
	 * Chooses the upstream of an attempt: a trusted one that was not tried yet, otherwise
	 * any live one that was not tried.
	 * @param ticket the request
	 * @param nowNanos the time on the monotonic clock
	 * @return the upstream, or {@code null} if every live one was tried
	 */
	@Nullable PlacedUpstream choose(PlacementTicket ticket, long nowNanos) {
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
		return this.placement.choose(trusted.isEmpty() ? untried : trusted, this.division, ticket.facts(), nowNanos);
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
	}

	void ended(PlacementGrant grant, AttemptResult result, long nowNanos) {
		PlacedUpstream upstream = grant.placed();
		upstream.ended(grant);
		boolean paused = upstream.trust().isPaused(nowNanos);
		judge(upstream, result, nowNanos);
		if (!paused && upstream.trust().isPaused(nowNanos)) {
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
			case TIMED_OUT, CONNECTION_LOST -> upstream.trust().failed(nowNanos);
			default -> {
			}
		}
	}

	private MovingAverage usual(RequestFacts facts) {
		return this.usualFirstNanos.computeIfAbsent(facts.entry().name(), (name) -> new MovingAverage(USUAL_WEIGHT));
	}

}
