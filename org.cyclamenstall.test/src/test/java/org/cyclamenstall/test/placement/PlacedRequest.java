package org.cyclamenstall.test.placement;

import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.GrantListener;
import org.cyclamenstall.policy.Refusal;
import org.cyclamenstall.policy.RequestAttributes;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.Ticket;
import org.jspecify.annotations.Nullable;

/**
 * A submitted request that records its grant or refusal.
 */
final class PlacedRequest implements GrantListener {

	final RequestAttributes attributes;

	@Nullable Ticket ticket;

	@Nullable Grant grant;

	@Nullable Refusal refusal;

	PlacedRequest(RequestAttributes attributes) {
		this.attributes = attributes;
	}

	@Override
	public void onGranted(Grant newGrant) {
		this.grant = newGrant;
	}

	@Override
	public void onRefused(Refusal newRefusal) {
		this.refusal = newRefusal;
	}

	boolean isPending() {
		return this.grant == null && this.refusal == null;
	}

	String upstream() {
		Grant currentGrant = this.grant;
		if (currentGrant == null) {
			throw new AssertionError("The request was not placed; refusal: " + this.refusal);
		}
		return currentGrant.upstream().host();
	}

	RetryDecision retry(RetryReason reason) {
		return submittedTicket().retry(reason, this);
	}

	/**
	 * Requests another attempt in place of the running one.
	 */
	RetryDecision replace() {
		Grant running = this.grant;
		if (running == null) {
			throw new AssertionError("The request was not placed; refusal: " + this.refusal);
		}
		return submittedTicket().replace(running, RetryReason.STREAM_CUT, this);
	}

	private Ticket submittedTicket() {
		Ticket currentTicket = this.ticket;
		if (currentTicket == null) {
			throw new AssertionError("The request was not submitted");
		}
		return currentTicket;
	}

}
