package org.cyclamenstall.internal.policy.placement;

import java.util.HashMap;
import java.util.Map;

import org.cyclamenstall.internal.policy.upstream.MovingAverage;
import org.cyclamenstall.policy.RequestAttributes;

/**
 * Tracks how long the requests of each catalogue entry take from their dispatch to the
 * first event and to the complete response, to tell until when a queued request can be
 * dispatched and still be answered, and until when it will be. Not thread-safe.
 */
final class ResponseTimes {

	private static final double SAMPLE_WEIGHT = 0.05;

	/** Maximum share of a timeout that is set aside for the upstream. */
	private static final double MAXIMUM_UPSTREAM_SHARE = 0.6;

	/** Minimum share of the response timeout that is set aside for the upstream. */
	private static final double MINIMUM_UPSTREAM_SHARE = 0.25;

	/** Mean deviations above the average that a response may usually take. */
	private static final double COMPLETION_DEVIATIONS = 2;

	private final Map<String, MovingAverage> firstEvents = new HashMap<>();

	private final Map<String, MovingAverage> completions = new HashMap<>();

	/** Absolute deviations of the completion times from their average. */
	private final Map<String, MovingAverage> completionDeviations = new HashMap<>();

	MovingAverage firstEvent(RequestAttributes attributes) {
		return average(this.firstEvents, attributes);
	}

	void recordCompletion(RequestAttributes attributes, long nanos) {
		MovingAverage completion = average(this.completions, attributes);
		average(this.completionDeviations, attributes).add(Math.abs(nanos - completion.valueOr(nanos)));
		completion.add(nanos);
	}

	/**
	 * Returns until when a request that is sent now is answered, if it is answered at
	 * all. The response to a request that must not be executed twice is awaited until the
	 * timeout of the request; that to any other one takes as long as it usually does.
	 * @param ticket the request
	 * @param nowNanos the time on the monotonic clock
	 * @return the time on the monotonic clock
	 */
	long latestCompletionNanos(PlacementTicket ticket, long nowNanos) {
		RequestAttributes attributes = ticket.attributes();
		long timeoutNanos = attributes.arrivalNanos() + ticket.timeoutNanos();
		MovingAverage completion = average(this.completions, attributes);
		if (!attributes.idempotent() || completion.samples() == 0) {
			return timeoutNanos;
		}
		double expectedNanos = completion.valueOr(0)
				+ COMPLETION_DEVIATIONS * average(this.completionDeviations, attributes).valueOr(0);
		return nowNanos + (long) Math.min(expectedNanos, timeoutNanos - nowNanos);
	}

	/**
	 * Returns the time at which a queued request must be dispatched at the latest, so
	 * that its caller still waits for the first event and for the complete response.
	 * @param ticket the request
	 * @return the time on the monotonic clock
	 */
	double latestDispatchNanos(PlacementTicket ticket) {
		double completionNanos = average(this.completions, ticket.attributes()).valueOr(0);
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
