package org.cyclamenstall.internal.policy;

/**
 * Allows retries and hedges as a share of first attempts, so that a slow or failing fleet
 * of upstreams is not loaded further. Not thread-safe: the controller's lock guards it.
 */
final class RetryBudget {

	private static final double INITIAL = 2;

	private static final double LARGEST = 20;

	private final double share;

	private double balance = INITIAL;

	RetryBudget(double share) {
		this.share = share;
	}

	void firstAttempt() {
		this.balance = Math.min(LARGEST, this.balance + this.share);
	}

	boolean take() {
		if (this.balance < 1) {
			return false;
		}
		this.balance--;
		return true;
	}

}
