package org.cyclamenstall.internal.policy;

import org.cyclamenstall.catalogue.Limits;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.internal.policy.limits.LimitBook;
import org.cyclamenstall.internal.policy.queue.Scheduler;
import org.cyclamenstall.internal.policy.upstream.MovingAverage;
import org.cyclamenstall.policy.RequestFacts;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a request may wait for a slot. The highest tier is refused only for its
 * own limits, its own deadline or for want of a live upstream. Not thread-safe: the
 * controller's lock guards it.
 */
final class Admission {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double CERTAINTY = 0.5;

	private static final int LEAST_SAMPLES = 20;

	private static final double OCCUPANCY_WEIGHT = 0.02;

	private final LimitBook limits;

	private final OutputEstimate estimate;

	private final int queueLength;

	private final MovingAverage occupancyNanos = new MovingAverage(OCCUPANCY_WEIGHT);

	Admission(LimitBook limits, OutputEstimate estimate, int queueLength) {
		this.limits = limits;
		this.estimate = estimate;
		this.queueLength = queueLength;
	}

	double expectedTokens(RequestFacts facts) {
		return facts.promptTokens() + this.estimate.expectedTokens(facts);
	}

	@Nullable ErrorKind admit(RequestFacts facts, double tokens, long nowNanos) {
		return this.limits.admit(facts.entry(), facts.account(), tokens, nowNanos);
	}

	boolean isFull(ServicePool pool, Tier tier) {
		return tier != Tier.INTERACTIVE && pool.queue().size(tier) >= this.queueLength;
	}

	boolean isCrowded(ServicePool pool) {
		return pool.queue().size() >= this.queueLength * Tier.values().length;
	}

	void occupied(long nanos) {
		this.occupancyNanos.add(nanos);
	}

	boolean isUnreachable(PolicyTicket ticket, ServicePool pool, long nowNanos) {
		Scheduler<PolicyTicket> queue = pool.queue();
		if (!ticket.hasDeadline() || this.occupancyNanos.samples() < LEAST_SAMPLES) {
			return false;
		}
		int ahead = queue.ahead(ticket.tier());
		double expectedNanos = ahead * this.occupancyNanos.valueOr(0) / Math.max(1, pool.slotRules().capacity());
		return expectedNanos * CERTAINTY > ticket.deadlineNanos() - nowNanos;
	}

	void setDeadline(PolicyTicket ticket, long sinceNanos) {
		Limits ofEntry = ticket.facts().entry().effectiveLimits();
		Double seconds = least(ofEntry.queueSeconds(), ofEntry.answerSeconds());
		if (seconds != null) {
			ticket.setDeadline(sinceNanos + (long) (seconds * NANOS_PER_SECOND));
		}
	}

	private static @Nullable Double least(@Nullable Double one, @Nullable Double other) {
		if (one == null || other == null) {
			return (one != null) ? one : other;
		}
		return Math.min(one, other);
	}

}
