package org.cyclamenstall.internal.gateway;

import java.time.Duration;

import org.cyclamenstall.internal.upstream.UpstreamRequest;
import org.cyclamenstall.routes.RouteTerms;
import org.jspecify.annotations.Nullable;

/**
 * Decides how long an attempt of a routed request may be silent. Answers the load pattern
 * of upstreams that go silent while their connections stay open: what may be repeated is
 * tried elsewhere while its caller still waits; anything else is waited for to the end,
 * because silence proves nothing. Immutable.
 */
final class AttemptTimes {

	private static final Duration CONNECT = Duration.ofMillis(300);

	private static final Duration LEAST_FIRST_EVENT = Duration.ofMillis(700);

	private static final Duration LEAST_GAP = Duration.ofMillis(900);

	private static final double FIRST_EVENT_OBJECTIVES = 2.5;

	private static final double WHOLE_ANSWER_OBJECTIVES = 1.3;

	private static final int GAP_OBJECTIVES = 4;

	private static final double MILLIS_PER_NANO = 1e-6;

	/**
	 * Bounds the attempts of a request.
	 * @param terms the terms of its route
	 * @param answerWithin the time that it has
	 * @return the bounds
	 */
	UpstreamRequest.Timeouts of(RouteTerms terms, Duration answerWithin) {
		if (!terms.idempotent()) {
			return new UpstreamRequest.Timeouts(CONNECT, answerWithin, answerWithin);
		}
		if (!terms.streamed()) {
			return new UpstreamRequest.Timeouts(CONNECT, scaled(terms.objective(), WHOLE_ANSWER_OBJECTIVES),
					answerWithin);
		}
		Duration first = longer(LEAST_FIRST_EVENT, scaled(terms.objective(), FIRST_EVENT_OBJECTIVES));
		return new UpstreamRequest.Timeouts(CONNECT, first, gap(terms.pauseObjective()));
	}

	private static Duration gap(@Nullable Duration pauseObjective) {
		return (pauseObjective != null) ? longer(LEAST_GAP, pauseObjective.multipliedBy(GAP_OBJECTIVES)) : LEAST_GAP;
	}

	private static Duration longer(Duration one, Duration other) {
		return (one.compareTo(other) >= 0) ? one : other;
	}

	private static Duration scaled(Duration duration, double factor) {
		return Duration.ofMillis((long) (duration.toNanos() * factor * MILLIS_PER_NANO));
	}

}
