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

	/** The work of a request without a prompt, in prompt tokens. */
	static final double PLAIN_WORK = 4_000;

	private static final Duration UNBOUNDED = Duration.ofMinutes(10);

	private final PlacementTrafficController controller;

	private final RequestFacts facts;

	private final GrantListener listener;

	private final long sequence;

	private final Set<PlacedUpstream> tried = new HashSet<>();

	private boolean overdue;

	private int attempts;

	private int unprovenAttempts;

	private int provenAttempts;

	private boolean finished;

	PlacementTicket(PlacementTrafficController controller, RequestFacts facts, GrantListener listener, long sequence) {
		this.controller = controller;
		this.facts = facts;
		this.listener = listener;
		this.sequence = sequence;
	}

	@Override
	public boolean withdraw() {
		return this.controller.withdraw(this);
	}

	@Override
	public RetryDecision retry(RetryReason reason, GrantListener next) {
		return this.controller.retry(this, reason, next);
	}

	@Override
	public Optional<Duration> hedgeDelay() {
		return Optional.empty();
	}

	@Override
	public RetryDecision hedge(GrantListener second) {
		return RetryDecision.NO_UPSTREAM;
	}

	@Override
	public void finish(long generatedTokens) {
		this.controller.finish(this);
	}

	RequestFacts facts() {
		return this.facts;
	}

	/**
	 * Returns who is told of the first attempt.
	 * @return the listener
	 */
	GrantListener listener() {
		return this.listener;
	}

	int priority() {
		return this.facts.terms().priority();
	}

	long sequence() {
		return this.sequence;
	}

	/**
	 * Returns the work that it brings, in prompt tokens.
	 * @return the work
	 */
	double work() {
		return (this.facts.promptTokens() > 0) ? this.facts.promptTokens() : PLAIN_WORK;
	}

	/**
	 * Returns when an answer stops to be on time.
	 * @return the time on the monotonic clock
	 */
	long dueNanos() {
		Duration objective = this.facts.terms().objective();
		return this.facts.arrivalNanos() + ((objective != null) ? objective : UNBOUNDED).toNanos();
	}

	/**
	 * Returns the time that it had at its arrival.
	 * @return the time in nanoseconds
	 */
	long wholeNanos() {
		Duration within = this.facts.terms().answerWithin();
		return ((within != null) ? within : UNBOUNDED).toNanos();
	}

	long leftNanos(long nowNanos) {
		return this.facts.arrivalNanos() + wholeNanos() - nowNanos;
	}

	boolean isOverdue() {
		return this.overdue;
	}

	void becomeOverdue() {
		this.overdue = true;
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
