package org.cyclamenstall.internal.policy;

import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.errors.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Counts and logs the decisions of a controller. Not thread-safe: the controller's lock
 * guards it.
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

	void granted(PolicyTicket ticket, PolicyGrant grant, DecisionType type, long nowNanos) {
		this.metrics.waited(nowNanos - ticket.waitingSinceNanos(), ticket.tier());
		record(ticket, type, null, null, grant.upstream().host(), null, nowNanos);
	}

	void queued(PolicyTicket ticket, long nowNanos) {
		record(ticket, DecisionType.QUEUED, null, null, null, null, nowNanos);
	}

	void refused(PolicyTicket ticket, ErrorKind kind, @Nullable Tier lowestPresent, long nowNanos) {
		this.metrics.refused(kind, ticket.tier());
		record(ticket, DecisionType.REFUSED, null, lowestPresent, null, kind, nowNanos);
	}

	void shed(PolicyTicket victim, Tier favoured, Tier lowestPresent, long nowNanos) {
		this.metrics.refused(ErrorKind.SHED, victim.tier());
		record(victim, DecisionType.SHED, favoured, lowestPresent, null, ErrorKind.SHED, nowNanos);
	}

	void preempted(PolicyGrant victim, Tier favoured, Tier lowestPresent, long nowNanos) {
		record(victim.ticket(), DecisionType.PREEMPTED, favoured, lowestPresent, victim.upstream().host(), null,
				nowNanos);
	}

	private void record(PolicyTicket ticket, DecisionType type, @Nullable Tier favoured, @Nullable Tier lowestPresent,
			@Nullable String upstream, @Nullable ErrorKind refusal, long nowNanos) {
		this.metrics.decided(type, ticket.tier());
		this.log.record(new Decision(nowNanos, ticket.facts().requestId(), type, ticket.tier(), favoured, lowestPresent,
				upstream, refusal, nowNanos - ticket.arrivalNanos()));
	}

}
