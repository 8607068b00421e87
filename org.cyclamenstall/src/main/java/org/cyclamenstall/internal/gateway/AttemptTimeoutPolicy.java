package org.cyclamenstall.internal.gateway;

import java.time.Duration;

import org.cyclamenstall.internal.upstream.UpstreamRequest;
import org.cyclamenstall.routes.RouteOptions;
import org.jspecify.annotations.Nullable;

/**
 * Computes the timeouts of the attempts of a routed request. Upstreams may stop
 * responding while their connections stay open: an idempotent request then times out
 * early enough to be retried on another upstream while its caller still waits. A
 * non-idempotent request waits until its own deadline, because a timeout does not prove
 * that it was not executed. Immutable.
 */
final class AttemptTimeoutPolicy {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

	private static final Duration MINIMUM_FIRST_EVENT_TIMEOUT = Duration.ofMillis(700);

	private static final Duration MINIMUM_GAP_TIMEOUT = Duration.ofMillis(900);

	// The factors are multiples of the latency or event gap objective of the route.
	private static final double FIRST_EVENT_TIMEOUT_FACTOR = 2.5;

	private static final double RESPONSE_TIMEOUT_FACTOR = 1.3;

	private static final int GAP_TIMEOUT_FACTOR = 4;

	private static final double MILLIS_PER_NANO = 1e-6;

	/**
	 * Returns the timeouts of each attempt of a request.
	 * @param options the options of its route
	 * @param responseTimeout the time until the deadline of the request
	 * @return the timeouts
	 */
	UpstreamRequest.Timeouts timeoutsFor(RouteOptions options, Duration responseTimeout) {
		if (!options.idempotent()) {
			return new UpstreamRequest.Timeouts(CONNECT_TIMEOUT, responseTimeout, responseTimeout);
		}
		if (!options.streamed()) {
			return new UpstreamRequest.Timeouts(CONNECT_TIMEOUT,
					scale(options.latencyObjective(), RESPONSE_TIMEOUT_FACTOR), responseTimeout);
		}
		Duration firstEvent = maximum(MINIMUM_FIRST_EVENT_TIMEOUT,
				scale(options.latencyObjective(), FIRST_EVENT_TIMEOUT_FACTOR));
		return new UpstreamRequest.Timeouts(CONNECT_TIMEOUT, firstEvent, gapTimeout(options.eventGapObjective()));
	}

	private static Duration gapTimeout(@Nullable Duration eventGapObjective) {
		return (eventGapObjective != null)
				? maximum(MINIMUM_GAP_TIMEOUT, eventGapObjective.multipliedBy(GAP_TIMEOUT_FACTOR))
				: MINIMUM_GAP_TIMEOUT;
	}

	private static Duration maximum(Duration first, Duration second) {
		return (first.compareTo(second) >= 0) ? first : second;
	}

	private static Duration scale(Duration duration, double factor) {
		return Duration.ofMillis((long) (duration.toNanos() * factor * MILLIS_PER_NANO));
	}

}
