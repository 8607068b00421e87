package org.cyclamenstall.internal.policy;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.internal.policy.queue.QueuedRequest;
import org.cyclamenstall.internal.policy.upstream.Upstream;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.GrantListener;
import org.cyclamenstall.policy.RequestAttributes;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.Ticket;
import org.jspecify.annotations.Nullable;

/**
 * Represents one submitted request across all its attempts. A running attempt is never
 * replaced: the timeouts of a catalogue entry end it. Mutable fields are guarded by the
 * controller's lock. While the request is waiting, the ticket holds its listener, which
 * is removed when the wait ends. Thread-safe.
 */
final class PolicyTicket implements Ticket, QueuedRequest {

	private final PolicyTrafficController controller;

	private final RequestAttributes attributes;

	private final Set<Upstream> triedUpstreams = new HashSet<>();

	private double reservedTokens;

	/**
	 * Number of generated tokens charged to the limits so far; unlimited until the
	 * request is admitted. Also read without the lock.
	 */
	private volatile long chargedTokens = Long.MAX_VALUE;

	private @Nullable ServicePool pool;

	private @Nullable GrantListener waitingListener;

	private long waitingSinceNanos;

	private long deadlineNanos;

	private boolean hasDeadline;

	private boolean responseStarted;

	private int attempts;

	private int budgetedRetries;

	private int upstreamRefusals;

	private int preemptions;

	private boolean admitted;

	private boolean finished;

	PolicyTicket(PolicyTrafficController controller, RequestAttributes attributes) {
		this.controller = controller;
		this.attributes = attributes;
	}

	@Override
	public boolean withdraw() {
		return this.controller.withdraw(this);
	}

	@Override
	public RetryDecision retry(RetryReason reason, GrantListener listener) {
		return this.controller.retry(this, reason, listener);
	}

	@Override
	public RetryDecision replace(Grant running, RetryReason reason, GrantListener listener) {
		return RetryDecision.NO_UPSTREAM;
	}

	@Override
	public Optional<Duration> hedgeDelay() {
		return this.controller.hedgeDelay(this);
	}

	@Override
	public RetryDecision hedge(GrantListener listener) {
		return this.controller.hedge(this, listener);
	}

	@Override
	public void finish(long generatedTokens) {
		this.controller.finish(this, generatedTokens);
	}

	@Override
	public Tier tier() {
		return this.attributes.tier();
	}

	@Override
	public String accountName() {
		return this.attributes.account().name();
	}

	@Override
	public double cost() {
		return Math.max(1, this.reservedTokens);
	}

	@Override
	public long arrivalNanos() {
		return this.attributes.arrivalNanos();
	}

	@Override
	public boolean isSheddable() {
		return !this.responseStarted;
	}

	RequestAttributes attributes() {
		return this.attributes;
	}

	void markAdmitted(ServicePool admittedPool, double tokens) {
		this.pool = admittedPool;
		this.reservedTokens = tokens;
		this.chargedTokens = (long) Math.ceil(Math.max(0, tokens - this.attributes.promptTokens()));
		this.admitted = true;
	}

	boolean isAdmitted() {
		return this.admitted;
	}

	ServicePool pool() {
		if (this.pool == null) {
			throw new IllegalStateException("Request was not admitted");
		}
		return this.pool;
	}

	double reservedTokens() {
		return this.reservedTokens;
	}

	long chargedTokens() {
		return this.chargedTokens;
	}

	void setChargedTokens(long tokens) {
		this.chargedTokens = tokens;
	}

	void startWaiting(GrantListener listener, long nowNanos) {
		this.waitingListener = listener;
		this.waitingSinceNanos = nowNanos;
	}

	long waitingSinceNanos() {
		return this.waitingSinceNanos;
	}

	boolean isWaiting() {
		return this.waitingListener != null;
	}

	GrantListener stopWaiting() {
		GrantListener listener = this.waitingListener;
		if (listener == null) {
			throw new IllegalStateException("Request is not waiting");
		}
		this.waitingListener = null;
		return listener;
	}

	void setDeadline(long nanos) {
		this.deadlineNanos = nanos;
		this.hasDeadline = true;
	}

	void clearDeadline() {
		this.hasDeadline = false;
	}

	boolean hasDeadline() {
		return this.hasDeadline;
	}

	long deadlineNanos() {
		return this.deadlineNanos;
	}

	void markResponseStarted() {
		this.responseStarted = true;
	}

	boolean hasResponseStarted() {
		return this.responseStarted;
	}

	int nextAttempt() {
		this.attempts++;
		return this.attempts;
	}

	int attempts() {
		return this.attempts;
	}

	int budgetedRetries() {
		return this.budgetedRetries;
	}

	void countBudgetedRetry() {
		this.budgetedRetries++;
	}

	int upstreamRefusals() {
		return this.upstreamRefusals;
	}

	void countUpstreamRefusal() {
		this.upstreamRefusals++;
	}

	int preemptions() {
		return this.preemptions;
	}

	void countPreemption() {
		this.preemptions++;
	}

	Set<Upstream> triedUpstreams() {
		return this.triedUpstreams;
	}

	boolean markFinished() {
		boolean firstCall = !this.finished;
		this.finished = true;
		return firstCall;
	}

}
