package org.cyclamenstall.policy;

import java.time.Duration;

import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.Tier;
import org.jspecify.annotations.Nullable;

/**
 * Holds the options of a request: priority, service level objectives, retry limits and
 * prompt size. Immutable.
 *
 * @param service the upstream service, or {@code null} if the entry names none
 * @param priority the priority level; 0 is the highest
 * @param maximumAttempts the maximum number of attempts that may have executed the
 * request
 * @param latencyObjective the service level objective for the response time, for streams
 * the time to the first event, or {@code null} for none
 * @param eventGapObjective the service level objective for the interval between two
 * events of a stream, or {@code null} for none
 * @param firstEventTimeout the time that the caller waits for the first event of a
 * stream, or {@code null} for no limit of its own
 * @param responseTimeout the maximum time from the arrival to the complete response, or
 * {@code null} for none
 * @param resumable whether an interrupted stream may be resumed at another upstream
 * @param tokensPerEvent the number of generated tokens in one event of a stream
 * @param prompt the size of the request and the parts of its prompt
 */
public record RequestOptions(@Nullable String service, int priority, int maximumAttempts,
		@Nullable Duration latencyObjective, @Nullable Duration eventGapObjective, @Nullable Duration firstEventTimeout,
		@Nullable Duration responseTimeout, boolean resumable, int tokensPerEvent, PromptShape prompt) {

	private static final double MILLIS_PER_SECOND = 1_000;

	/**
	 * Creates options from a catalogue entry.
	 * @param entry the entry
	 * @param tier the tier of the request, which determines its priority
	 * @param prompt the size of the request and the parts of its prompt
	 * @return the options
	 */
	public static RequestOptions of(CatalogueEntry entry, Tier tier, PromptShape prompt) {
		return new RequestOptions(entry.upstreams(), tier.ordinal(), Integer.MAX_VALUE,
				duration(entry.firstTokenSeconds()), duration(entry.tokenGapSeconds()), null,
				duration(entry.effectiveLimits().answerSeconds()), Boolean.TRUE.equals(entry.resumable()), 1, prompt);
	}

	private static @Nullable Duration duration(@Nullable Double seconds) {
		return (seconds != null) ? Duration.ofMillis((long) (seconds * MILLIS_PER_SECOND)) : null;
	}

}
