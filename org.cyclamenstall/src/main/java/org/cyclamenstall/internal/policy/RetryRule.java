package org.cyclamenstall.internal.policy;

import java.time.Duration;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.internal.policy.upstream.LatencyWindow;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.settings.PolicySettings;

/**
 * Decides on further attempts. A preempted request always gets another one. One that an
 * upstream refused unexecuted, because it is full, waits for room again: a bounded number
 * of times before its answer began, and until its caller leaves afterwards, because part
 * of an answer is of no use and another request cannot replace it. Every other attempt
 * after the first is paid from the retry budget. Not thread-safe: the controller's lock
 * guards it.
 */
final class RetryRule {

	private static final int LEAST_SAMPLES = 20;

	private static final int MAXIMUM_REFUSALS = 20;

	private static final long LEAST_HEDGE_NANOS = 20_000_000L;

	private final RetryBudget budget;

	private final Backoff backoff;

	private final int maximumAttempts;

	RetryRule(PolicySettings settings, UniformRandomProvider random) {
		this.budget = new RetryBudget(settings.retryShare());
		this.backoff = new Backoff(random);
		this.maximumAttempts = settings.maximumAttempts();
	}

	void firstAttempt() {
		this.budget.firstAttempt();
	}

	RetryDecision decide(PolicyTicket ticket, RetryReason reason, long nowNanos) {
		if (reason == RetryReason.PREEMPTED) {
			return RetryDecision.GRANTED;
		}
		if (reason == RetryReason.REFUSED) {
			return decideAfterRefusal(ticket, nowNanos);
		}
		if (ticket.countedAttempts() + 1 >= this.maximumAttempts) {
			return RetryDecision.ATTEMPTS_EXHAUSTED;
		}
		if (!ticket.pool().hasLive(nowNanos)
				|| (reason == RetryReason.UNREACHABLE && !ticket.pool().hasOtherLive(ticket, nowNanos))) {
			return RetryDecision.NO_UPSTREAM;
		}
		if (!this.budget.take()) {
			return RetryDecision.BUDGET_SPENT;
		}
		ticket.countAttempt();
		return RetryDecision.GRANTED;
	}

	private static RetryDecision decideAfterRefusal(PolicyTicket ticket, long nowNanos) {
		if (!ticket.isAnsweredInPart() && ticket.refusals() >= MAXIMUM_REFUSALS) {
			return RetryDecision.ATTEMPTS_EXHAUSTED;
		}
		if (!ticket.pool().hasLive(nowNanos)) {
			return RetryDecision.NO_UPSTREAM;
		}
		ticket.countRefusal();
		return RetryDecision.GRANTED;
	}

	long pauseNanos(PolicyTicket ticket, RetryReason reason) {
		int made = (reason == RetryReason.REFUSED) ? ticket.refusals() : ticket.countedAttempts();
		return this.backoff.pauseNanos(reason, made);
	}

	Optional<Duration> hedgeDelay(PolicyTicket ticket) {
		LatencyWindow usual = ticket.pool().usual();
		if (ticket.tier() != Tier.INTERACTIVE || !ticket.facts().idempotent() || !ticket.facts().streamed()
				|| usual.count() < LEAST_SAMPLES) {
			return Optional.empty();
		}
		return Optional.of(Duration.ofNanos(Math.max(LEAST_HEDGE_NANOS, usual.tailNanos())));
	}

}
