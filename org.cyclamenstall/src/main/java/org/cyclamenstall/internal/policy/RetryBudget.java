package org.cyclamenstall.internal.policy;

/**
 * Limits retries and hedged attempts to a share of the requests, so that they do not
 * overload slow or failing upstreams further. Not thread-safe: guarded by the
 * controller's lock.
 */
final class RetryBudget {

	private static final double INITIAL_BALANCE = 2;

	private static final double MAXIMUM_BALANCE = 20;

	private final double share;

	private double balance = INITIAL_BALANCE;

	RetryBudget(double share) {
		this.share = share;
	}

	void recordRequest() {
		this.balance = Math.min(MAXIMUM_BALANCE, this.balance + this.share);
	}

	boolean trySpend() {
		if (this.balance < 1) {
			return false;
		}
		this.balance--;
		return true;
	}

}
