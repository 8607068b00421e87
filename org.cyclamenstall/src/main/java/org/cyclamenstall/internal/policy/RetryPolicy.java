package org.cyclamenstall.internal.policy;

import java.time.Duration;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.internal.policy.upstream.LatencyHistogram;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.settings.PolicySettings;

/**
 * Decides on requests for another attempt. A preempted request is always granted one. A
 * request that a full upstream refused without executing it is queued again: a limited
 * number of times before its response has started, and without limit afterwards, because
 * a partial response is of no use to the caller and a new request cannot replace it. All
 * other retries and hedged attempts are charged to the retry budget. Not thread-safe:
 * guarded by the controller's lock.
 */
final class RetryPolicy {

	private static final int MINIMUM_SAMPLES = 20;

	private static final int MAXIMUM_UPSTREAM_REFUSALS = 20;

	private static final long MINIMUM_HEDGE_DELAY_NANOS = 20_000_000L;

	private final RetryBudget budget;

	private final Backoff backoff;

	private final int maximumAttempts;

	RetryPolicy(PolicySettings settings, UniformRandomProvider random) {
		this.budget = new RetryBudget(settings.retryShare());
		this.backoff = new Backoff(random);
		this.maximumAttempts = settings.maximumAttempts();
	}

	void recordRequest() {
		this.budget.recordRequest();
	}

	RetryDecision decide(PolicyTicket ticket, RetryReason reason, long nowNanos) {
		if (reason == RetryReason.PREEMPTED) {
			return RetryDecision.GRANTED;
		}
		if (reason == RetryReason.REFUSED) {
			return decideAfterRefusal(ticket, nowNanos);
		}
		if (ticket.budgetedRetries() + 1 >= this.maximumAttempts) {
			return RetryDecision.ATTEMPTS_EXHAUSTED;
		}
		if (!ticket.pool().hasLiveUpstream(nowNanos)
				|| (reason == RetryReason.UNREACHABLE && !ticket.pool().hasUntriedLiveUpstream(ticket, nowNanos))) {
			return RetryDecision.NO_UPSTREAM;
		}
		if (!this.budget.trySpend()) {
			return RetryDecision.BUDGET_SPENT;
		}
		ticket.countBudgetedRetry();
		return RetryDecision.GRANTED;
	}

	private static RetryDecision decideAfterRefusal(PolicyTicket ticket, long nowNanos) {
		if (!ticket.hasResponseStarted() && ticket.upstreamRefusals() >= MAXIMUM_UPSTREAM_REFUSALS) {
			return RetryDecision.ATTEMPTS_EXHAUSTED;
		}
		if (!ticket.pool().hasLiveUpstream(nowNanos)) {
			return RetryDecision.NO_UPSTREAM;
		}
		ticket.countUpstreamRefusal();
		return RetryDecision.GRANTED;
	}

	long delayNanos(PolicyTicket ticket, RetryReason reason) {
		int retryCount = (reason == RetryReason.REFUSED) ? ticket.upstreamRefusals() : ticket.budgetedRetries();
		return this.backoff.delayNanos(reason, retryCount);
	}

	Optional<Duration> hedgeDelay(PolicyTicket ticket) {
		LatencyHistogram latency = ticket.pool().firstTokenLatency();
		if (ticket.tier() != Tier.INTERACTIVE || !ticket.attributes().idempotent() || !ticket.attributes().streamed()
				|| latency.count() < MINIMUM_SAMPLES) {
			return Optional.empty();
		}
		return Optional.of(Duration.ofNanos(Math.max(MINIMUM_HEDGE_DELAY_NANOS, latency.percentile95Nanos())));
	}

}
