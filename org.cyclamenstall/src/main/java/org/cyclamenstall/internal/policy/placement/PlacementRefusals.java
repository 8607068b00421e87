package org.cyclamenstall.internal.policy.placement;

import java.time.Duration;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.internal.policy.DeferredCallbacks;
import org.cyclamenstall.internal.policy.quarantine.QuarantineRefusal;
import org.cyclamenstall.policy.Refusal;

/**
 * Refuses requests: states the cause and when the caller should retry. The listeners are
 * called after the lock of the controller is released. Not thread-safe: guarded by that
 * lock.
 */
final class PlacementRefusals {

	/** Time after which a caller of a daemon that shuts down finds another daemon. */
	private static final Duration SHUTDOWN_RETRY_DELAY = Duration.ofMillis(50);

	private final DeferredCallbacks callbacks;

	private final OverloadPolicy overloadPolicy;

	PlacementRefusals(DeferredCallbacks callbacks, OverloadPolicy overloadPolicy) {
		this.callbacks = callbacks;
		this.overloadPolicy = overloadPolicy;
	}

	void shuttingDown(PlacementTicket ticket, String detail) {
		refuse(ticket, new Refusal(ErrorKind.SHUTTING_DOWN, detail, SHUTDOWN_RETRY_DELAY));
	}

	void noLiveUpstream(PlacementTicket ticket) {
		refuse(ticket, new Refusal(ErrorKind.NO_LIVE_UPSTREAM,
				"No live upstream serves entry " + ticket.attributes().entry().name()));
	}

	void upstreamsFull(PlacementTicket ticket, double waitNanos, long nowNanos) {
		refuse(ticket,
				new Refusal(ErrorKind.UPSTREAMS_FULL,
						"The upstreams of entry " + ticket.attributes().entry().name() + " cannot answer in time",
						this.overloadPolicy.retryDelay(waitNanos, ticket.remainingNanos(nowNanos))));
	}

	void quarantined(PlacementTicket ticket, QuarantineRefusal refusal) {
		refuse(ticket,
				new Refusal(
						ErrorKind.PROMPT_QUARANTINED, "The prompt part " + refusal.partId()
								+ " crashes upstreams and is quarantined for " + refusal.sinceMillis() + " ms",
						refusal.retryAfter()));
	}

	private void refuse(PlacementTicket ticket, Refusal refusal) {
		this.callbacks.add(() -> ticket.listener().onRefused(refusal));
	}

}
