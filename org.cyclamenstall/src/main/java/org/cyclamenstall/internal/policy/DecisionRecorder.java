package org.cyclamenstall.internal.policy;

import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.errors.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Counts and logs the decisions of a controller. Not thread-safe: guarded by the
 * controller's lock.
 */
final class DecisionRecorder {

	private final PolicyMetrics metrics;

	private final DecisionLog log;

	DecisionRecorder(PolicyMetrics metrics, DecisionLog log) {
		this.metrics = metrics;
		this.log = log;
	}

	PolicyMetrics metrics() {
		return this.metrics;
	}

	void recordGrant(PolicyTicket ticket, PolicyGrant grant, DecisionType type, long nowNanos) {
		this.metrics.recordWait(nowNanos - ticket.waitingSinceNanos(), ticket.tier());
		record(ticket, type, null, null, grant.upstream().host(), null, nowNanos);
	}

	void recordQueued(PolicyTicket ticket, long nowNanos) {
		record(ticket, DecisionType.QUEUED, null, null, null, null, nowNanos);
	}

	void recordRefusal(PolicyTicket ticket, ErrorKind kind, @Nullable Tier lowestTierPresent, long nowNanos) {
		this.metrics.recordRefusal(kind, ticket.tier());
		record(ticket, DecisionType.REFUSED, null, lowestTierPresent, null, kind, nowNanos);
	}

	void recordShed(PolicyTicket victim, Tier favouredTier, Tier lowestTierPresent, long nowNanos) {
		this.metrics.recordRefusal(ErrorKind.SHED, victim.tier());
		record(victim, DecisionType.SHED, favouredTier, lowestTierPresent, null, ErrorKind.SHED, nowNanos);
	}

	void recordPreemption(PolicyGrant victim, Tier favouredTier, Tier lowestTierPresent, long nowNanos) {
		record(victim.ticket(), DecisionType.PREEMPTED, favouredTier, lowestTierPresent, victim.upstream().host(), null,
				nowNanos);
	}

	private void record(PolicyTicket ticket, DecisionType type, @Nullable Tier favouredTier,
			@Nullable Tier lowestTierPresent, @Nullable String upstream, @Nullable ErrorKind refusal, long nowNanos) {
		this.metrics.recordDecision(type, ticket.tier());
		this.log.record(new Decision(nowNanos, ticket.attributes().requestId(), type, ticket.tier(), favouredTier,
				lowestTierPresent, upstream, refusal, nowNanos - ticket.arrivalNanos()));
	}

}
