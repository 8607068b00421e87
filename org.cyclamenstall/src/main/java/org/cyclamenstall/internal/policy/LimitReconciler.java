package org.cyclamenstall.internal.policy;

import org.cyclamenstall.internal.policy.limits.LimitRegistry;
import org.cyclamenstall.policy.RequestAttributes;

/**
 * Reconciles the limits of entries and accounts with the actual usage of requests. The
 * reservation made at admission is refunded if no attempt was started; otherwise it is
 * adjusted to the number of generated tokens. Not thread-safe: guarded by the
 * controller's lock.
 */
final class LimitReconciler {

	private final LimitRegistry limits;

	private final OutputTokenEstimator estimator;

	LimitReconciler(LimitRegistry limits, OutputTokenEstimator estimator) {
		this.limits = limits;
		this.estimator = estimator;
	}

	/**
	 * Reconciles the limits with the usage of a finished request.
	 * @param ticket the ticket of the request, which was admitted
	 * @param generatedTokens the number of tokens generated for the request
	 */
	void reconcile(PolicyTicket ticket, long generatedTokens) {
		RequestAttributes attributes = ticket.attributes();
		if (ticket.attempts() == 0) {
			this.limits.cancel(attributes.entry(), attributes.account(), ticket.reservedTokens());
			return;
		}
		this.limits.charge(attributes.entry(), attributes.account(), generatedTokens - ticket.chargedTokens());
		this.limits.release(attributes.entry(), attributes.account());
		this.estimator.addSample(attributes, generatedTokens);
	}

	/**
	 * Charges a running request for generated tokens that exceed its previous charge.
	 * @param ticket the ticket of the request
	 * @param totalTokens the number of tokens generated so far
	 */
	void chargeGenerated(PolicyTicket ticket, long totalTokens) {
		long excessTokens = totalTokens - ticket.chargedTokens();
		if (excessTokens > 0) {
			this.limits.charge(ticket.attributes().entry(), ticket.attributes().account(), excessTokens);
			ticket.setChargedTokens(totalTokens);
		}
	}

}
