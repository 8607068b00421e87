package org.cyclamenstall.internal.policy.placement;

import java.util.HashMap;
import java.util.Map;

import org.cyclamenstall.internal.policy.upstream.MovingAverage;
import org.cyclamenstall.policy.RequestAttributes;

/**
 * Tracks how long the requests of each catalogue entry take from their dispatch to the
 * first event and to the complete response, to tell until when a queued request can be
 * dispatched and still be answered. Not thread-safe.
 */
final class ResponseTimes {

	private static final double SAMPLE_WEIGHT = 0.05;

	/** Maximum share of a timeout that is set aside for the upstream. */
	private static final double MAXIMUM_UPSTREAM_SHARE = 0.6;

	/** Minimum share of the response timeout that is set aside for the upstream. */
	private static final double MINIMUM_UPSTREAM_SHARE = 0.25;

	private final Map<String, MovingAverage> firstEvents = new HashMap<>();

	private final Map<String, MovingAverage> completions = new HashMap<>();

	MovingAverage firstEvent(RequestAttributes attributes) {
		return average(this.firstEvents, attributes);
	}

	MovingAverage completion(RequestAttributes attributes) {
		return average(this.completions, attributes);
	}

	/**
	 * Returns the time at which a queued request must be dispatched at the latest, so
	 * that its caller still waits for the first event and for the complete response.
	 * @param ticket the request
	 * @return the time on the monotonic clock
	 */
	double latestDispatchNanos(PlacementTicket ticket) {
		double completionNanos = completion(ticket.attributes()).valueOr(0);
		double upstreamNanos = Math.max(MINIMUM_UPSTREAM_SHARE * ticket.timeoutNanos(),
				Math.min(MAXIMUM_UPSTREAM_SHARE * ticket.timeoutNanos(), completionNanos));
		double latestForCompletion = ticket.timeoutNanos() - upstreamNanos;
		double firstEventTimeoutNanos = ticket.firstEventTimeoutNanos();
		double firstEventNanos = Math.min(MAXIMUM_UPSTREAM_SHARE * firstEventTimeoutNanos,
				firstEvent(ticket.attributes()).valueOr(0));
		double latestForFirstEvent = firstEventTimeoutNanos - firstEventNanos;
		return ticket.attributes().arrivalNanos() + Math.min(latestForCompletion, latestForFirstEvent);
	}

	private static MovingAverage average(Map<String, MovingAverage> averages, RequestAttributes attributes) {
		return averages.computeIfAbsent(attributes.entry().name(), (name) -> new MovingAverage(SAMPLE_WEIGHT));
	}

}
