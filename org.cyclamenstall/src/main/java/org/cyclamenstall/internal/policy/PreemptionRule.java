package org.cyclamenstall.internal.policy;

import java.util.Set;

import org.cyclamenstall.catalogue.Tier;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the stream that gives up its slot for a waiting request of a higher tier: of
 * the lowest tier that holds one, the stream that produced most. A stream is preempted a
 * bounded number of times, never if it runs because of its age. Does no input or output.
 * Immutable.
 */
final class PreemptionRule {

	private static final int LARGEST_PREEMPTIONS = 8;

	private static final long AGED_PROTECTED_NANOS = 5_000_000_000L;

	private static final long LEAST_TOKENS = 1;

	@Nullable PolicyGrant victim(Set<PolicyGrant> running, Tier waiting, long nowNanos) {
		PolicyGrant victim = null;
		for (PolicyGrant grant : running) {
			if (waiting.isAbove(grant.ticket().tier()) && isEligible(grant, nowNanos)
					&& (victim == null || isBetter(grant, victim))) {
				victim = grant;
			}
		}
		return victim;
	}

	private static boolean isBetter(PolicyGrant grant, PolicyGrant victim) {
		int byTier = grant.ticket().tier().compareTo(victim.ticket().tier());
		int byCount = Integer.compare(victim.ticket().preemptions(), grant.ticket().preemptions());
		int order = (byTier != 0) ? byTier : byCount;
		return order > 0 || (order == 0 && grant.produced() > victim.produced());
	}

	private static boolean isEligible(PolicyGrant grant, long nowNanos) {
		PolicyTicket ticket = grant.ticket();
		return !grant.isPreempting() && !isProtected(grant, nowNanos) && ticket.facts().streamed()
				&& Boolean.TRUE.equals(ticket.facts().entry().resumable()) && ticket.preemptions() < LARGEST_PREEMPTIONS
				&& grant.produced() >= LEAST_TOKENS;
	}

	private static boolean isProtected(PolicyGrant grant, long nowNanos) {
		return grant.isAged() && nowNanos - grant.startedAtNanos() < AGED_PROTECTED_NANOS;
	}

}
