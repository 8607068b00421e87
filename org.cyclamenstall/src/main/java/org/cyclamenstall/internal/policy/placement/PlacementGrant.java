package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;

import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.RequestAttributes;

/**
 * Represents one attempt of a request at one upstream. Load reports of the upstream have
 * no effect. Thread-safe: mutable fields are guarded by the controller's lock.
 */
final class PlacementGrant implements Grant {

	private final PlacementTrafficController controller;

	private final PlacementTicket ticket;

	private final PlacementUpstream upstream;

	private final ListedHost host;

	private final int attempt;

	private final long startedAtNanos;

	private double pendingPrefill;

	private int receivedEvents;

	private long lastEventAtNanos;

	private boolean firstEventReceived;

	private boolean silent;

	private boolean ended;

	PlacementGrant(PlacementTrafficController controller, PlacementTicket ticket, PlacementUpstream upstream,
			long nowNanos) {
		this.controller = controller;
		this.ticket = ticket;
		this.upstream = upstream;
		this.host = upstream.host();
		this.attempt = ticket.nextAttempt();
		this.startedAtNanos = nowNanos;
		this.pendingPrefill = upstream.uncachedWorkTokens(ticket);
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
		this.controller.recordFirstEvent(this);
	}

	@Override
	public void recordTokens(int count) {
		this.controller.recordEvent(this);
	}

	@Override
	public void recordLoad(int running, int slots, long ageMillis) {
	}

	@Override
	public void markUpstreamDraining() {
		this.controller.recordLeaving(this);
	}

	@Override
	public void recordUnavailable(Duration duration) {
		this.controller.recordUnavailable(this, duration);
	}

	@Override
	public boolean maySend() {
		return this.controller.maySend(this);
	}

	@Override
	public void release(AttemptResult result) {
		this.controller.endAttempt(this, result);
	}

	RequestAttributes attributes() {
		return this.ticket.attributes();
	}

	PlacementTicket ticket() {
		return this.ticket;
	}

	PlacementUpstream placementUpstream() {
		return this.upstream;
	}

	long startedAtNanos() {
		return this.startedAtNanos;
	}

	double pendingPrefill() {
		return this.pendingPrefill;
	}

	double clearPendingPrefill() {
		double cleared = this.pendingPrefill;
		this.pendingPrefill = 0;
		return cleared;
	}

	/**
	 * Records a stream event and its gap to the previous event.
	 * @param nowNanos the time on the monotonic clock
	 * @param engineSpeed learns from the gap
	 */
	void recordEvent(long nowNanos, EngineSpeed engineSpeed) {
		if (this.receivedEvents > 0) {
			engineSpeed.recordGap(nowNanos - this.lastEventAtNanos, attributes().options().tokensPerEvent());
			double allowedNanos = EventGapLimit.allowedGapNanos(attributes().options(), this.receivedEvents,
					this.ticket.remainingNanos(nowNanos));
			this.upstream.eventGaps().recordGap(nowNanos - this.lastEventAtNanos, allowedNanos, nowNanos);
		}
		this.receivedEvents++;
		this.lastEventAtNanos = nowNanos;
		this.upstream.recordDataReceived(nowNanos);
	}

	boolean markFirstEventReceived() {
		boolean firstCall = !this.firstEventReceived && !this.ended;
		this.firstEventReceived = true;
		return firstCall;
	}

	/**
	 * Records that the upstream was silent for longer than a timeout.
	 * @return {@code true} for the first call
	 */
	boolean markSilent() {
		boolean firstCall = !this.silent;
		this.silent = true;
		return firstCall;
	}

	boolean isSilent() {
		return this.silent;
	}

	boolean hasReceivedFirstEvent() {
		return this.firstEventReceived;
	}

	boolean markEnded() {
		boolean firstCall = !this.ended;
		this.ended = true;
		return firstCall;
	}

}
