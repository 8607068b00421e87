package org.cyclamenstall.internal.policy;

import java.util.concurrent.atomic.AtomicLong;

import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.policy.upstream.Upstream;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.GrantListener;

/**
 * Holds one slot of one upstream. The fields that change are guarded by the controller's
 * lock, but for the count of tokens, which is atomic. Thread-safe.
 */
final class PolicyGrant implements Grant {

	private static final int LEAST_GAPS = 20;

	private final PolicyTrafficController controller;

	private final PolicyTicket ticket;

	private final GrantListener listener;

	private final Upstream upstream;

	private final ListedHost host;

	private final int attempt;

	private final long startedAtNanos;

	private final boolean aged;

	private final AtomicLong produced = new AtomicLong();

	private final AtomicLong tokensAtNanos = new AtomicLong();

	private long firstTokenAtNanos;

	private boolean answering;

	private boolean preempting;

	private boolean ended;

	PolicyGrant(PolicyTrafficController controller, PolicyTicket ticket, GrantListener listener, Upstream upstream,
			boolean aged, long nowNanos) {
		this.controller = controller;
		this.ticket = ticket;
		this.listener = listener;
		this.upstream = upstream;
		this.host = upstream.host();
		this.attempt = ticket.nextAttempt();
		this.aged = aged;
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
	public void firstToken() {
		this.controller.firstToken(this);
	}

	@Override
	public void tokens(int count) {
		this.tokensAtNanos.lazySet(this.controller.nowNanos());
		long total = this.produced.addAndGet(count);
		if (total > this.ticket.chargedTokens()) {
			this.controller.tokensBeyondCharge(this, total);
		}
	}

	@Override
	public void loadReported(int running, int slots, long ageMillis) {
		this.controller.loadReported(this, running, slots, ageMillis);
	}

	@Override
	public void upstreamDraining() {
		this.controller.upstreamDraining(this);
	}

	@Override
	public void ended(AttemptResult result) {
		this.controller.ended(this, result);
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

	boolean isAged() {
		return this.aged;
	}

	boolean isTimed() {
		return this.ticket.facts().streamed() || this.ticket.facts().entry().kind() != EntryKind.MODEL;
	}

	long produced() {
		return this.produced.get();
	}

	long averageGapNanos() {
		long count = this.produced.get() - 1;
		return (this.answering && count >= LEAST_GAPS) ? (this.tokensAtNanos.get() - this.firstTokenAtNanos) / count
				: 0;
	}

	boolean startAnswering(long nowNanos) {
		if (this.answering || this.ended) {
			return false;
		}
		this.answering = true;
		this.firstTokenAtNanos = nowNanos;
		return true;
	}

	boolean isAnswering() {
		return this.answering;
	}

	boolean isPreempting() {
		return this.preempting;
	}

	void startPreempting() {
		this.preempting = true;
	}

	boolean end() {
		boolean first = !this.ended;
		this.ended = true;
		return first;
	}

}
