package org.cyclamenstall.internal.policy;

import org.cyclamenstall.internal.policy.limits.LimitBook;
import org.cyclamenstall.policy.RequestFacts;

/**
 * Settles the limits of entries and accounts with what requests used. What was reserved
 * at the admission is given back where nothing ran, and corrected by the tokens that were
 * generated otherwise. Not thread-safe: the controller's lock guards it.
 */
final class LimitSettlement {

	private final LimitBook limits;

	private final OutputEstimate estimate;

	LimitSettlement(LimitBook limits, OutputEstimate estimate) {
		this.limits = limits;
		this.estimate = estimate;
	}

	/**
	 * Charges a request that has ended.
	 * @param ticket the admitted request
	 * @param generatedTokens the tokens that were generated for it
	 */
	void ended(PolicyTicket ticket, long generatedTokens) {
		RequestFacts facts = ticket.facts();
		if (ticket.attempts() == 0) {
			this.limits.cancel(facts.entry(), facts.account(), ticket.reservedTokens());
			return;
		}
		this.limits.charge(facts.entry(), facts.account(), generatedTokens - ticket.chargedTokens());
		this.limits.release(facts.entry(), facts.account());
		this.estimate.ended(facts, generatedTokens);
	}

	/**
	 * Charges a request that goes on for the tokens beyond what it was charged for.
	 * @param ticket the request
	 * @param totalTokens the tokens that were generated so far
	 */
	void generated(PolicyTicket ticket, long totalTokens) {
		long beyond = totalTokens - ticket.chargedTokens();
		if (beyond > 0) {
			this.limits.charge(ticket.facts().entry(), ticket.facts().account(), beyond);
			ticket.chargedTokens(totalTokens);
		}
	}

}
