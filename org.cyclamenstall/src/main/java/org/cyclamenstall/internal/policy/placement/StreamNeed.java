package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;

import org.cyclamenstall.policy.PromptShape;
import org.cyclamenstall.policy.RequestTerms;

/**
 * Works out how long the gaps between the events of a stream may be. Counts on the
 * caller's estimate of the output, and on more when that was too low. Immutable.
 */
final class StreamNeed {

	private static final double NANOS_PER_MILLI = 1e6;

	private static final int LEAST_REMAINING = 8;

	private static final int DEFAULT_EVENTS = 40;

	private StreamNeed() {
	}

	/**
	 * Returns the gap with which a stream just ends in time and on time.
	 * @param terms the terms of the request
	 * @param events the events that came
	 * @param leftNanos the time until the caller gives up
	 * @return the gap in nanoseconds
	 */
	static double allowedGapNanos(RequestTerms terms, int events, long leftNanos) {
		double byDeadline = Math.max(NANOS_PER_MILLI, leftNanos) / remainingEvents(terms, events);
		Duration pause = terms.pauseObjective();
		return (pause != null) ? Math.min(byDeadline, pause.toNanos()) : byDeadline;
	}

	private static double remainingEvents(RequestTerms terms, int events) {
		PromptShape prompt = terms.prompt();
		int perEvent = Math.max(1, terms.tokensPerEvent());
		int likely = (prompt.likelyOutputTokens() > 0) ? prompt.likelyOutputTokens() / perEvent : DEFAULT_EVENTS;
		int rest = likely - events;
		if (rest >= LEAST_REMAINING) {
			return rest;
		}
		int most = prompt.maximumOutputTokens() / perEvent - events;
		return Math.max(LEAST_REMAINING, most / 2.0);
	}

}
