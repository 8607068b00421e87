package org.cyclamenstall.internal.policy;

import org.cyclamenstall.internal.policy.limits.LimitRegistry;
import org.cyclamenstall.policy.RequestAttributes;

/**
 * Reconciles the limits of entries and accounts with the actual usage of requests. The
 * reservation made at admission is refunded if no attempt was started; otherwise it is
 * corrected by the number of generated tokens. Not thread-safe: guarded by the
 * controller's lock.
 */
final class LimitReconciler {

	private final LimitRegistry limits;

	private final OutputTokenEstimator estimate;

	LimitReconciler(LimitRegistry limits, OutputTokenEstimator estimate) {
		this.limits = limits;
		this.estimate = estimate;
	}

	/**
	 * Reconciles the limits with the usage of a finished request.
	 * @param ticket the ticket of the request, which was admitted
	 * @param generatedTokens the number of tokens generated for the request
	 */
	void reconcile(PolicyTicket ticket, long generatedTokens) {
		RequestAttributes facts = ticket.facts();
		if (ticket.attempts() == 0) {
			this.limits.cancel(facts.entry(), facts.account(), ticket.reservedTokens());
			return;
		}
		this.limits.charge(facts.entry(), facts.account(), generatedTokens - ticket.chargedTokens());
		this.limits.release(facts.entry(), facts.account());
		this.estimate.addSample(facts, generatedTokens);
	}

	/**
	 * Charges a running request for generated tokens that exceed its previous charge.
	 * @param ticket the ticket of the request
	 * @param totalTokens the number of tokens generated so far
	 */
	void chargeGenerated(PolicyTicket ticket, long totalTokens) {
		long excessTokens = totalTokens - ticket.chargedTokens();
		if (excessTokens > 0) {
			this.limits.charge(ticket.facts().entry(), ticket.facts().account(), excessTokens);
			ticket.setChargedTokens(totalTokens);
		}
	}

}
