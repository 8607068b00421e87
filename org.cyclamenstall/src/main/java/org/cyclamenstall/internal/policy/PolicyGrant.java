package org.cyclamenstall.internal.policy;

import java.util.concurrent.atomic.AtomicLong;

import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.policy.upstream.Upstream;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.GrantListener;

/**
 * Represents one attempt, which occupies one slot of one upstream until it is released.
 * Mutable fields are guarded by the controller's lock, except for the number of generated
 * tokens and the time of the last one, which are atomic. Thread-safe.
 */
final class PolicyGrant implements Grant {

	private static final int MINIMUM_GAPS = 20;

	private final PolicyTrafficController controller;

	private final PolicyTicket ticket;

	private final GrantListener listener;

	private final Upstream upstream;

	private final ListedHost host;

	private final int attempt;

	private final long startedAtNanos;

	private final boolean grantedByAge;

	private final AtomicLong generatedTokens = new AtomicLong();

	private final AtomicLong lastTokenAtNanos = new AtomicLong();

	private long firstTokenAtNanos;

	private boolean responseStarted;

	private boolean preempting;

	private boolean ended;

	PolicyGrant(PolicyTrafficController controller, PolicyTicket ticket, GrantListener listener, Upstream upstream,
			boolean grantedByAge, long nowNanos) {
		this.controller = controller;
		this.ticket = ticket;
		this.listener = listener;
		this.upstream = upstream;
		this.host = upstream.host();
		this.attempt = ticket.nextAttempt();
		this.grantedByAge = grantedByAge;
		this.startedAtNanos = nowNanos;
	}

	@Override
	public ListedHost upstream() {
		return this.host;
	}

	@Override
	public int attempt() {
		return this.attempt;
	}

	@Override
	public void recordFirstToken() {
		this.controller.recordFirstToken(this);
	}

	@Override
	public void recordTokens(int count) {
		this.lastTokenAtNanos.lazySet(this.controller.nowNanos());
		long total = this.generatedTokens.addAndGet(count);
		if (total > this.ticket.chargedTokens()) {
			this.controller.chargeExcessTokens(this, total);
		}
	}

	@Override
	public void recordLoad(int running, int slots, long ageMillis) {
		this.controller.recordLoad(this, running, slots, ageMillis);
	}

	@Override
	public void markUpstreamDraining() {
		this.controller.markUpstreamDraining(this);
	}

	@Override
	public void release(AttemptResult result) {
		this.controller.release(this, result);
	}

	PolicyTicket ticket() {
		return this.ticket;
	}

	GrantListener listener() {
		return this.listener;
	}

	Upstream upstreamState() {
		return this.upstream;
	}

	long startedAtNanos() {
		return this.startedAtNanos;
	}

	boolean isGrantedByAge() {
		return this.grantedByAge;
	}

	/**
	 * Returns whether the time to the first token is recorded as a latency sample of the
	 * upstream. A model response that is not streamed is no sample, because it starts
	 * only after its last token.
	 * @return {@code false} for a model response that is not streamed
	 */
	boolean isLatencySample() {
		return this.ticket.attributes().streamed() || this.ticket.attributes().entry().kind() != EntryKind.MODEL;
	}

	long generatedTokens() {
		return this.generatedTokens.get();
	}

	long averageTokenGapNanos() {
		long gaps = this.generatedTokens.get() - 1;
		return (this.responseStarted && gaps >= MINIMUM_GAPS)
				? (this.lastTokenAtNanos.get() - this.firstTokenAtNanos) / gaps : 0;
	}

	boolean markResponseStarted(long nowNanos) {
		if (this.responseStarted || this.ended) {
			return false;
		}
		this.responseStarted = true;
		this.firstTokenAtNanos = nowNanos;
		return true;
	}

	boolean hasResponseStarted() {
		return this.responseStarted;
	}

	boolean isPreempting() {
		return this.preempting;
	}

	void markPreempting() {
		this.preempting = true;
	}

	boolean markEnded() {
		boolean firstCall = !this.ended;
		this.ended = true;
		return firstCall;
	}

}
