package org.cyclamenstall.test.placement;

import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.GrantListener;
import org.cyclamenstall.policy.Refusal;
import org.cyclamenstall.policy.RequestFacts;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.Ticket;
import org.jspecify.annotations.Nullable;

/**
 * Keeps what became of one submitted request.
 */
final class PlacedRequest implements GrantListener {

	final RequestFacts facts;

	@Nullable Ticket ticket;

	@Nullable Grant grant;

	@Nullable Refusal refusal;

	PlacedRequest(RequestFacts facts) {
		this.facts = facts;
	}

	@Override
	public void granted(Grant given) {
		this.grant = given;
	}

	@Override
	public void refused(Refusal refused) {
		this.refusal = refused;
	}

	boolean waits() {
		return this.grant == null && this.refusal == null;
	}

	String upstream() {
		Grant given = this.grant;
		if (given == null) {
			throw new AssertionError("The request was not placed; refusal: " + this.refusal);
		}
		return given.upstream().host();
	}

	RetryDecision retry(RetryReason reason) {
		Ticket held = this.ticket;
		if (held == null) {
			throw new AssertionError("The request was not submitted");
		}
		return held.retry(reason, this);
	}

}
