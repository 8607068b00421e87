package org.cyclamenstall.internal.policy;

import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.errors.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Describes one decision of the traffic controller. Immutable.
 *
 * @param atNanos the time on the monotonic clock
 * @param requestId the request that the decision concerns; the victim if a request was
 * shed or preempted
 * @param type the type of the decision
 * @param tier the tier of the request
 * @param favouredTier the tier in whose favour a request was shed or preempted, the
 * highest one if it was preempted to reduce the load to the capacity, or {@code null} for
 * other decisions
 * @param lowestTierPresent the lowest tier that had a candidate for shedding or
 * preemption, or {@code null} if the decision did not consider any
 * @param upstream the host name of the upstream, or {@code null} if no upstream is
 * involved
 * @param refusal the error kind of a refused or shed request, or {@code null} for other
 * decisions
 * @param waitedNanos the time since the arrival of the request
 */
public record Decision(long atNanos, String requestId, DecisionType type, Tier tier, @Nullable Tier favouredTier,
		@Nullable Tier lowestTierPresent, @Nullable String upstream, @Nullable ErrorKind refusal, long waitedNanos) {

}
