package org.cyclamenstall.internal.policy.placement;

import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.RequestFacts;

/**
 * Stands for one attempt at one upstream. Thread-safe: every change goes through the
 * controller.
 */
final class PlacementGrant implements Grant {

	private final PlacementTrafficController controller;

	private final PlacementTicket ticket;

	private final PlacedUpstream upstream;

	private final ListedHost host;

	private final int attempt;

	private final long startedAtNanos;

	private double unreadWork;

	private int events;

	private long lastEventNanos;

	private boolean answering;

	private boolean ended;

	PlacementGrant(PlacementTrafficController controller, PlacementTicket ticket, PlacedUpstream upstream,
			long nowNanos) {
		this.controller = controller;
		this.ticket = ticket;
		this.upstream = upstream;
		this.host = upstream.host();
		this.attempt = ticket.nextAttempt();
		this.startedAtNanos = nowNanos;
		this.unreadWork = upstream.work(ticket);
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
		this.controller.streamed(this);
	}

	@Override
	public void loadReported(int running, int slots, long ageMillis) {
	}

	@Override
	public void upstreamDraining() {
	}

	@Override
	public void ended(AttemptResult result) {
		this.controller.ended(this, result);
	}

	RequestFacts facts() {
		return this.ticket.facts();
	}

	PlacementTicket ticket() {
		return this.ticket;
	}

	PlacedUpstream placed() {
		return this.upstream;
	}

	long startedAtNanos() {
		return this.startedAtNanos;
	}

	double unreadWork() {
		return this.unreadWork;
	}

	double takeUnreadWork() {
		double taken = this.unreadWork;
		this.unreadWork = 0;
		return taken;
	}

	/**
	 * Takes an event of the stream.
	 * @param nowNanos the time on the monotonic clock
	 */
	void streamed(long nowNanos) {
		if (this.events > 0) {
			double allowed = StreamNeed.allowedGapNanos(facts().terms(), this.events, this.ticket.leftNanos(nowNanos));
			this.upstream.pace().event(nowNanos - this.lastEventNanos, allowed, nowNanos);
		}
		this.events++;
		this.lastEventNanos = nowNanos;
		this.upstream.heard(nowNanos);
	}

	boolean startAnswering() {
		boolean first = !this.answering && !this.ended;
		this.answering = true;
		return first;
	}

	boolean end() {
		boolean first = !this.ended;
		this.ended = true;
		return first;
	}

}
