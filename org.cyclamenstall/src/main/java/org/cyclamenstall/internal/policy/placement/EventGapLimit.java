package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;

import org.cyclamenstall.policy.PromptShape;
import org.cyclamenstall.policy.RequestOptions;

/**
 * Computes the maximum gap between two events of a stream, in nanoseconds, with which the
 * stream still completes before its timeout and meets its event gap objective. The number
 * of remaining events is estimated from the expected output of the request; once that is
 * nearly reached or exceeded, half of the remaining maximum output is assumed. Stateless.
 */
final class EventGapLimit {

	private static final double NANOS_PER_MILLI = 1e6;

	private static final int MINIMUM_REMAINING_EVENTS = 8;

	private static final int DEFAULT_EXPECTED_EVENTS = 40;

	private EventGapLimit() {
	}

	/**
	 * Returns the maximum gap between the next events of a stream.
	 * @param options the options of the request
	 * @param receivedEvents the number of events received
	 * @param remainingNanos the time until the caller times out
	 * @return the gap in nanoseconds
	 */
	static double allowedGapNanos(RequestOptions options, int receivedEvents, long remainingNanos) {
		double deadlineGapNanos = Math.max(NANOS_PER_MILLI, remainingNanos) / remainingEvents(options, receivedEvents);
		Duration gapObjective = options.eventGapObjective();
		return (gapObjective != null) ? Math.min(deadlineGapNanos, gapObjective.toNanos()) : deadlineGapNanos;
	}

	private static double remainingEvents(RequestOptions options, int receivedEvents) {
		PromptShape prompt = options.prompt();
		int tokensPerEvent = Math.max(1, options.tokensPerEvent());
		int expectedEvents = (prompt.estimatedOutputTokens() > 0) ? prompt.estimatedOutputTokens() / tokensPerEvent
				: DEFAULT_EXPECTED_EVENTS;
		int remaining = expectedEvents - receivedEvents;
		if (remaining >= MINIMUM_REMAINING_EVENTS) {
			return remaining;
		}
		int maximumRemaining = prompt.maximumOutputTokens() / tokensPerEvent - receivedEvents;
		return Math.max(MINIMUM_REMAINING_EVENTS, maximumRemaining / 2.0);
	}

}
