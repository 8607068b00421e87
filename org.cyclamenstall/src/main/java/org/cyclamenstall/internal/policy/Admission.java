package org.cyclamenstall.internal.policy;

import org.cyclamenstall.catalogue.Limits;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.internal.policy.limits.LimitRegistry;
import org.cyclamenstall.internal.policy.queue.Scheduler;
import org.cyclamenstall.internal.policy.upstream.MovingAverage;
import org.cyclamenstall.policy.RequestAttributes;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a request may be queued. Except during shutdown, a request of the
 * highest tier is refused only if a limit is exceeded, its deadline cannot be met or no
 * upstream is live. A deadline counts as unreachable if the expected wait exceeds twice
 * the remaining time. Not thread-safe: guarded by the controller's lock.
 */
final class Admission {

	private static final double NANOS_PER_SECOND = 1e9;

	/** Share of the expected wait that must remain until the deadline of a request. */
	private static final double MINIMUM_REMAINING_WAIT_SHARE = 0.5;

	private static final int MINIMUM_SAMPLES = 20;

	private static final double SLOT_TIME_SAMPLE_WEIGHT = 0.02;

	private final LimitRegistry limits;

	private final OutputTokenEstimator estimator;

	private final int maximumLengthPerTier;

	/** Average time that an attempt occupies its slot, in nanoseconds. */
	private final MovingAverage slotTimeAverage = new MovingAverage(SLOT_TIME_SAMPLE_WEIGHT);

	Admission(LimitRegistry limits, OutputTokenEstimator estimator, int maximumLengthPerTier) {
		this.limits = limits;
		this.estimator = estimator;
		this.maximumLengthPerTier = maximumLengthPerTier;
	}

	double expectedTokens(RequestAttributes attributes) {
		return attributes.promptTokens() + this.estimator.expectedTokens(attributes);
	}

	@Nullable ErrorKind admit(RequestAttributes attributes, double tokens, long nowNanos) {
		return this.limits.admit(attributes.entry(), attributes.account(), tokens, nowNanos);
	}

	boolean isTierQueueFull(ServicePool pool, Tier tier) {
		return tier != Tier.INTERACTIVE && pool.queue().size(tier) >= this.maximumLengthPerTier;
	}

	boolean isTotalQueueFull(ServicePool pool) {
		return pool.queue().size() >= this.maximumLengthPerTier * Tier.values().length;
	}

	void recordSlotTime(long durationNanos) {
		this.slotTimeAverage.add(durationNanos);
	}

	boolean isDeadlineUnreachable(PolicyTicket ticket, ServicePool pool, long nowNanos) {
		Scheduler<PolicyTicket> queue = pool.queue();
		if (!ticket.hasDeadline() || this.slotTimeAverage.samples() < MINIMUM_SAMPLES) {
			return false;
		}
		int queuedAhead = queue.countAhead(ticket.tier());
		double expectedWaitNanos = queuedAhead * this.slotTimeAverage.valueOr(0)
				/ Math.max(1, pool.slotPolicy().capacity());
		return expectedWaitNanos * MINIMUM_REMAINING_WAIT_SHARE > ticket.deadlineNanos() - nowNanos;
	}

	void setDeadline(PolicyTicket ticket, long startNanos) {
		Limits entryLimits = ticket.attributes().entry().effectiveLimits();
		Double seconds = smaller(entryLimits.queueSeconds(), entryLimits.answerSeconds());
		if (seconds != null) {
			ticket.setDeadline(startNanos + (long) (seconds * NANOS_PER_SECOND));
		}
	}

	private static @Nullable Double smaller(@Nullable Double first, @Nullable Double second) {
		if (first == null || second == null) {
			return (first != null) ? first : second;
		}
		return Math.min(first, second);
	}

}
