package org.cyclamenstall.internal.policy;

import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.internal.policy.queue.SlotReason;
import org.cyclamenstall.internal.policy.upstream.Upstream;
import org.cyclamenstall.policy.GrantListener;
import org.jspecify.annotations.Nullable;

/**
 * Grants free slots to queued requests, and preempts running requests in favour of higher
 * tiers or while more requests are running than the capacity allows. Not thread-safe:
 * guarded by the controller's lock.
 */
final class Dispatcher {

	private static final Tier[] TIERS = Tier.values();

	private final PolicyTrafficController controller;

	private final PolicyFactory policies;

	private final DecisionRecorder recorder;

	private final DeferredCallbacks deferredCallbacks;

	private final PreemptionPolicy preemptionPolicy = new PreemptionPolicy();

	/** Upstream selected in the last poll, or {@code null} if none had a free slot. */
	private @Nullable Upstream selectedUpstream;

	private boolean selectedByAge;

	Dispatcher(PolicyTrafficController controller, PolicyFactory policies, DecisionRecorder recorder,
			DeferredCallbacks deferredCallbacks) {
		this.controller = controller;
		this.policies = policies;
		this.recorder = recorder;
		this.deferredCallbacks = deferredCallbacks;
	}

	void dispatch(ServicePool pool, long nowNanos) {
		PolicyTicket ticket = poll(pool, nowNanos);
		while (ticket != null) {
			grant(ticket, nowNanos);
			ticket = poll(pool, nowNanos);
		}
		if (this.policies.isPreemptionEnabled()) {
			preemptForQueued(pool, nowNanos);
			preemptExcess(pool, nowNanos);
		}
	}

	private @Nullable PolicyTicket poll(ServicePool pool, long nowNanos) {
		if (pool.queue().size() == 0) {
			return null;
		}
		return pool.queue().poll(nowNanos, (ticket, reason) -> trySelectUpstream(pool, ticket, reason, nowNanos));
	}

	private boolean trySelectUpstream(ServicePool pool, PolicyTicket ticket, SlotReason reason, long nowNanos) {
		this.selectedByAge = reason == SlotReason.AGED;
		this.selectedUpstream = pool.findUpstream(ticket, this.selectedByAge, nowNanos);
		return this.selectedUpstream != null;
	}

	private void grant(PolicyTicket ticket, long nowNanos) {
		Upstream upstream = this.selectedUpstream;
		if (upstream == null) {
			throw new IllegalStateException("No upstream was selected for the polled request");
		}
		this.controller.cancelTimers(ticket);
		GrantListener listener = ticket.stopWaiting();
		startAttempt(ticket, listener, upstream,
				this.selectedByAge ? DecisionType.GRANTED_BY_AGE : DecisionType.GRANTED, nowNanos);
	}

	void startAttempt(PolicyTicket ticket, GrantListener listener, Upstream upstream, DecisionType type,
			long nowNanos) {
		PolicyGrant grant = new PolicyGrant(this.controller, ticket, listener, upstream,
				type == DecisionType.GRANTED_BY_AGE, nowNanos);
		ticket.pool().recordStart(grant, nowNanos);
		this.recorder.recordGrant(ticket, grant, type, nowNanos);
		this.deferredCallbacks.add(() -> listener.onGranted(grant));
	}

	private void preemptForQueued(ServicePool pool, long nowNanos) {
		for (Tier waitingTier : TIERS) {
			int needed = pool.queue().size(waitingTier) - pool.preemptingCount();
			for (int count = 0; count < needed; count++) {
				PolicyGrant victim = this.preemptionPolicy.selectVictim(pool.preemptible(), waitingTier, nowNanos);
				if (victim == null) {
					return;
				}
				startPreemption(victim, waitingTier, nowNanos);
			}
		}
	}

	private void preemptExcess(ServicePool pool, long nowNanos) {
		int excess = pool.running().size() - pool.slotPolicy().capacity() - pool.preemptingCount();
		for (int count = 0; count < excess; count++) {
			PolicyGrant victim = this.preemptionPolicy.selectVictim(pool.preemptible(), Tier.INTERACTIVE, nowNanos);
			if (victim == null) {
				return;
			}
			startPreemption(victim, Tier.INTERACTIVE, nowNanos);
		}
	}

	private void startPreemption(PolicyGrant victim, Tier favouredTier, long nowNanos) {
		victim.markPreempting();
		victim.ticket().pool().recordPreempting(victim);
		victim.ticket().countPreemption();
		this.recorder.recordPreemption(victim, favouredTier, victim.ticket().tier(), nowNanos);
		this.deferredCallbacks.add(() -> victim.listener().onPreempt());
	}

}
