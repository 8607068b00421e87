package org.cyclamenstall.policy;

import java.time.Duration;

import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.Tier;
import org.jspecify.annotations.Nullable;

/**
 * Holds the terms under which a request is served. Immutable.
 *
 * @param service the upstream service
 * @param priority the rank, where 0 is the highest
 * @param maximumAttempts the largest number of upstreams that may run the request
 * @param objective the time within which an answer is on time, for streams until the
 * first event, or {@code null} for none
 * @param pauseObjective the longest pause between two events of a stream that is on time,
 * or {@code null} for none
 * @param answerWithin the longest time from the arrival to the whole answer, or
 * {@code null} for none
 * @param resumable whether a cut stream may be continued at another upstream
 * @param tokensPerEvent the generated tokens that one event of a stream carries
 * @param prompt the size and content of a model request
 */
public record RequestTerms(@Nullable String service, int priority, int maximumAttempts, @Nullable Duration objective,
		@Nullable Duration pauseObjective, @Nullable Duration answerWithin, boolean resumable, int tokensPerEvent,
		PromptShape prompt) {

	private static final double MILLIS_PER_SECOND = 1_000;

	/**
	 * Returns the terms of a catalogue entry.
	 * @param entry the entry
	 * @param tier the class of the request
	 * @param prompt the size of the prompt
	 * @return the terms
	 */
	public static RequestTerms of(CatalogueEntry entry, Tier tier, PromptShape prompt) {
		return new RequestTerms(entry.upstreams(), tier.ordinal(), Integer.MAX_VALUE,
				duration(entry.firstTokenSeconds()), duration(entry.tokenGapSeconds()),
				duration(entry.effectiveLimits().answerSeconds()), Boolean.TRUE.equals(entry.resumable()), 1, prompt);
	}

	private static @Nullable Duration duration(@Nullable Double seconds) {
		return (seconds != null) ? Duration.ofMillis((long) (seconds * MILLIS_PER_SECOND)) : null;
	}

}
