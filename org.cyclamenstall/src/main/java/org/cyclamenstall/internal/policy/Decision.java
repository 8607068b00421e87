package org.cyclamenstall.internal.policy;

import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.errors.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Records one decision. Immutable.
 *
 * @param atNanos the time on the monotonic clock
 * @param requestId the request that the decision is about; for a dropped or preempted
 * one, the victim
 * @param type what was decided
 * @param tier the tier of the request
 * @param favouredTier the tier in whose favour a request was dropped or preempted, or
 * {@code null} for other decisions
 * @param lowestTierPresent the lowest tier that could have been chosen instead, or
 * {@code null} if there was none
 * @param upstream the host name of the upstream, or {@code null} for none
 * @param refusal why a request was refused, or {@code null} for other decisions
 * @param waitedNanos how long the request waited since its arrival
 */
public record Decision(long atNanos, String requestId, DecisionType type, Tier tier, @Nullable Tier favouredTier,
		@Nullable Tier lowestTierPresent, @Nullable String upstream, @Nullable ErrorKind refusal, long waitedNanos) {

}
