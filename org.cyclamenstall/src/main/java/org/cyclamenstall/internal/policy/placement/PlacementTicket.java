package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.cyclamenstall.policy.GrantListener;
import org.cyclamenstall.policy.RequestFacts;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.Ticket;

/**
 * Stands for one request over all its attempts. Thread-safe: every change goes through
 * the controller.
 */
final class PlacementTicket implements Ticket {

	private final PlacementTrafficController controller;

	private final RequestFacts facts;

	private final Set<PlacedUpstream> tried = new HashSet<>();

	private int attempts;

	private int unprovenAttempts;

	private int provenAttempts;

	private boolean finished;

	PlacementTicket(PlacementTrafficController controller, RequestFacts facts) {
		this.controller = controller;
		this.facts = facts;
	}

	@Override
	public boolean withdraw() {
		return false;
	}

	@Override
	public RetryDecision retry(RetryReason reason, GrantListener listener) {
		return this.controller.retry(this, reason, listener);
	}

	@Override
	public Optional<Duration> hedgeDelay() {
		return Optional.empty();
	}

	@Override
	public RetryDecision hedge(GrantListener listener) {
		return RetryDecision.NO_UPSTREAM;
	}

	@Override
	public void finish(long generatedTokens) {
		this.controller.finish(this);
	}

	RequestFacts facts() {
		return this.facts;
	}

	Set<PlacedUpstream> tried() {
		return this.tried;
	}

	int nextAttempt() {
		this.attempts++;
		return this.attempts;
	}

	/**
	 * Returns the attempts that may have run.
	 * @return the count
	 */
	int unprovenAttempts() {
		return this.unprovenAttempts;
	}

	/**
	 * Returns the attempts that provably did not run.
	 * @return the count
	 */
	int provenAttempts() {
		return this.provenAttempts;
	}

	void attemptEnded(boolean provedNotRun) {
		if (provedNotRun) {
			this.provenAttempts++;
		}
		else {
			this.unprovenAttempts++;
		}
	}

	boolean finishOnce() {
		boolean first = !this.finished;
		this.finished = true;
		return first;
	}

}
