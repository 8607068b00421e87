package org.cyclamenstall.internal.policy;

import java.util.Set;

import org.cyclamenstall.catalogue.Tier;
import org.jspecify.annotations.Nullable;

/**
 * Selects the running stream that is preempted for a waiting request of a higher tier:
 * one of the lowest tier, preferably with few earlier preemptions and then with many
 * generated tokens. A stream is preempted a limited number of times. One without
 * generated tokens is not preempted, and one that was granted by age is not preempted
 * during its first seconds. Performs no I/O. Immutable.
 */
final class PreemptionPolicy {

	private static final int MAXIMUM_PREEMPTIONS = 8;

	private static final long GRANTED_BY_AGE_PROTECTION_NANOS = 5_000_000_000L;

	private static final long MINIMUM_TOKENS = 1;

	@Nullable PolicyGrant selectVictim(Set<PolicyGrant> preemptible, Tier waitingTier, long nowNanos) {
		PolicyGrant victim = null;
		for (PolicyGrant grant : preemptible) {
			if (waitingTier.isAbove(grant.ticket().tier()) && isEligible(grant, nowNanos)
					&& (victim == null || isBetterVictim(grant, victim))) {
				victim = grant;
			}
		}
		return victim;
	}

	private static boolean isBetterVictim(PolicyGrant grant, PolicyGrant other) {
		int byTier = grant.ticket().tier().compareTo(other.ticket().tier());
		int byPreemptions = Integer.compare(other.ticket().preemptions(), grant.ticket().preemptions());
		int order = (byTier != 0) ? byTier : byPreemptions;
		return order > 0 || (order == 0 && grant.generatedTokens() > other.generatedTokens());
	}

	static boolean isPreemptible(PolicyTicket ticket) {
		return ticket.tier() != Tier.INTERACTIVE && ticket.attributes().streamed()
				&& Boolean.TRUE.equals(ticket.attributes().entry().resumable())
				&& ticket.preemptions() < MAXIMUM_PREEMPTIONS;
	}

	private static boolean isEligible(PolicyGrant grant, long nowNanos) {
		return !isProtected(grant, nowNanos) && grant.generatedTokens() >= MINIMUM_TOKENS;
	}

	private static boolean isProtected(PolicyGrant grant, long nowNanos) {
		return grant.isGrantedByAge() && nowNanos - grant.startedAtNanos() < GRANTED_BY_AGE_PROTECTION_NANOS;
	}

}
