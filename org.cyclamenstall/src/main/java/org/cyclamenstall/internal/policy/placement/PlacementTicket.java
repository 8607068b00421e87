package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.GrantListener;
import org.cyclamenstall.policy.RequestAttributes;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.Ticket;

/**
 * Represents one request across all its attempts. Requests are never hedged. Thread-safe:
 * mutable fields are guarded by the controller's lock.
 */
final class PlacementTicket implements Ticket {

	/** Assumed work of a request without a prompt, in prompt tokens. */
	static final double PLAIN_REQUEST_TOKENS = 4_000;

	/** Timeout and latency objective of requests that do not specify them. */
	private static final Duration DEFAULT_TIMEOUT = Duration.ofMinutes(10);

	private final PlacementTrafficController controller;

	private final RequestAttributes attributes;

	private final GrantListener listener;

	private final long sequence;

	private final Set<PlacementUpstream> triedUpstreams = new HashSet<>();

	private boolean overdue;

	private int attempts;

	private int possiblyExecutedAttempts;

	private int unexecutedAttempts;

	private boolean begun;

	private boolean finished;

	PlacementTicket(PlacementTrafficController controller, RequestAttributes attributes, GrantListener listener,
			long sequence) {
		this.controller = controller;
		this.attributes = attributes;
		this.listener = listener;
		this.sequence = sequence;
	}

	@Override
	public boolean withdraw() {
		return this.controller.withdraw(this);
	}

	@Override
	public RetryDecision retry(RetryReason reason, GrantListener retryListener) {
		return this.controller.retry(this, reason, retryListener);
	}

	@Override
	public RetryDecision replace(Grant running, RetryReason reason, GrantListener newListener) {
		return this.controller.replace((PlacementGrant) running, reason, newListener);
	}

	@Override
	public Optional<Duration> hedgeDelay() {
		return Optional.empty();
	}

	@Override
	public RetryDecision hedge(GrantListener hedgeListener) {
		return RetryDecision.NO_UPSTREAM;
	}

	@Override
	public void finish(long generatedTokens) {
		this.controller.finish(this);
	}

	RequestAttributes attributes() {
		return this.attributes;
	}

	/**
	 * Returns the listener of the first attempt.
	 * @return the listener
	 */
	GrantListener listener() {
		return this.listener;
	}

	/**
	 * Returns the service whose upstreams the request is placed on.
	 * @return the name, empty if the request names none
	 */
	String service() {
		String service = this.attributes.options().service();
		return (service != null) ? service : "";
	}

	int priority() {
		return this.attributes.options().priority();
	}

	long sequence() {
		return this.sequence;
	}

	/**
	 * Returns the work of the request if no part of its prompt is cached.
	 * @return the work in prompt tokens
	 */
	double fullWorkTokens() {
		return (this.attributes.promptTokens() > 0) ? this.attributes.promptTokens() : PLAIN_REQUEST_TOKENS;
	}

	/**
	 * Returns the time at which the latency objective of the request expires. A default
	 * applies if the request has none.
	 * @return the time on the monotonic clock
	 */
	long objectiveDeadlineNanos() {
		Duration objective = this.attributes.options().latencyObjective();
		return this.attributes.arrivalNanos() + ((objective != null) ? objective : DEFAULT_TIMEOUT).toNanos();
	}

	/**
	 * Returns the timeout of the request, counted from its arrival. A default applies if
	 * the request has none.
	 * @return the timeout in nanoseconds
	 */
	long timeoutNanos() {
		Duration timeout = this.attributes.options().responseTimeout();
		return ((timeout != null) ? timeout : DEFAULT_TIMEOUT).toNanos();
	}

	/**
	 * Returns how long the caller waits for the first event, counted from the arrival.
	 * @return the time in nanoseconds, at most the timeout of the request
	 */
	long firstEventTimeoutNanos() {
		Duration timeout = this.attributes.options().firstEventTimeout();
		return (timeout != null) ? Math.min(timeout.toNanos(), timeoutNanos()) : timeoutNanos();
	}

	long remainingNanos(long nowNanos) {
		return this.attributes.arrivalNanos() + timeoutNanos() - nowNanos;
	}

	boolean isOverdue() {
		return this.overdue;
	}

	void markOverdue() {
		this.overdue = true;
	}

	Set<PlacementUpstream> triedUpstreams() {
		return this.triedUpstreams;
	}

	int nextAttempt() {
		this.attempts++;
		return this.attempts;
	}

	/**
	 * Returns the number of attempts that an upstream may have executed.
	 * @return the count
	 */
	int possiblyExecutedAttempts() {
		return this.possiblyExecutedAttempts;
	}

	/**
	 * Returns the number of attempts that were certainly not executed, because the
	 * upstream was unreachable or refused the request, or the request was not sent.
	 * @return the count
	 */
	int unexecutedAttempts() {
		return this.unexecutedAttempts;
	}

	void recordAttemptEnd(boolean notExecuted) {
		if (notExecuted) {
			this.unexecutedAttempts++;
		}
		else {
			this.possiblyExecutedAttempts++;
		}
	}

	/**
	 * Records that an upstream began to execute the request.
	 * @return {@code true} for the first call
	 */
	boolean markBegun() {
		boolean firstCall = !this.begun;
		this.begun = true;
		return firstCall;
	}

	boolean markFinished() {
		boolean firstCall = !this.finished;
		this.finished = true;
		return firstCall;
	}

}
