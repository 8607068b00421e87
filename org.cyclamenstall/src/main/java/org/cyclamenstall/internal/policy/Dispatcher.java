package org.cyclamenstall.internal.policy;

import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.internal.policy.queue.SlotClaim;
import org.cyclamenstall.internal.policy.upstream.Upstream;
import org.cyclamenstall.policy.GrantListener;
import org.jspecify.annotations.Nullable;

/**
 * Hands free slots to waiting requests and takes slots back for higher tiers. Not
 * thread-safe: the controller's lock guards it.
 */
final class Dispatcher {

	private static final Tier[] TIERS = Tier.values();

	private final PolicyTrafficController controller;

	private final PolicySet policies;

	private final DecisionRecorder recorder;

	private final Outbox outbox;

	private final PreemptionRule preemption = new PreemptionRule();

	private @Nullable Upstream found;

	private boolean foundByAge;

	Dispatcher(PolicyTrafficController controller, PolicySet policies, DecisionRecorder recorder, Outbox outbox) {
		this.controller = controller;
		this.policies = policies;
		this.recorder = recorder;
		this.outbox = outbox;
	}

	void dispatch(ServicePool pool, long nowNanos) {
		PolicyTicket ticket = poll(pool, nowNanos);
		while (ticket != null) {
			grant(ticket, nowNanos);
			ticket = poll(pool, nowNanos);
		}
		if (this.policies.preempts()) {
			preempt(pool, nowNanos);
			yieldExcess(pool, nowNanos);
		}
	}

	private @Nullable PolicyTicket poll(ServicePool pool, long nowNanos) {
		if (pool.queue().size() == 0) {
			return null;
		}
		return pool.queue().poll(nowNanos, (ticket, claim) -> find(pool, ticket, claim, nowNanos));
	}

	private boolean find(ServicePool pool, PolicyTicket ticket, SlotClaim claim, long nowNanos) {
		this.foundByAge = claim == SlotClaim.AGE;
		this.found = pool.findUpstream(ticket, this.foundByAge, nowNanos);
		return this.found != null;
	}

	private void grant(PolicyTicket ticket, long nowNanos) {
		Upstream upstream = this.found;
		if (upstream == null) {
			throw new IllegalStateException("No slot was kept");
		}
		this.controller.stoppedWaiting(ticket);
		GrantListener listener = ticket.stopWaiting();
		start(ticket, listener, upstream, this.foundByAge ? DecisionType.GRANTED_BY_AGE : DecisionType.GRANTED,
				nowNanos);
	}

	void start(PolicyTicket ticket, GrantListener listener, Upstream upstream, DecisionType type, long nowNanos) {
		PolicyGrant grant = new PolicyGrant(this.controller, ticket, listener, upstream,
				type == DecisionType.GRANTED_BY_AGE, nowNanos);
		ticket.pool().started(grant, nowNanos);
		this.recorder.granted(ticket, grant, type, nowNanos);
		this.outbox.add(() -> listener.granted(grant));
	}

	private void preempt(ServicePool pool, long nowNanos) {
		for (Tier waiting : TIERS) {
			int wanted = pool.queue().size(waiting) - pool.preempting();
			for (int count = 0; count < wanted; count++) {
				PolicyGrant victim = this.preemption.victim(pool.running(), waiting, nowNanos);
				if (victim == null) {
					return;
				}
				take(victim, waiting, nowNanos);
			}
		}
	}

	private void yieldExcess(ServicePool pool, long nowNanos) {
		int excess = pool.running().size() - pool.slotRules().capacity() - pool.preempting();
		for (int count = 0; count < excess; count++) {
			PolicyGrant victim = this.preemption.victim(pool.running(), Tier.INTERACTIVE, nowNanos);
			if (victim == null) {
				return;
			}
			take(victim, Tier.INTERACTIVE, nowNanos);
		}
	}

	private void take(PolicyGrant victim, Tier waiting, long nowNanos) {
		victim.startPreempting();
		victim.ticket().pool().preemptingStarted();
		victim.ticket().countPreemption();
		this.recorder.preempted(victim, waiting, victim.ticket().tier(), nowNanos);
		this.outbox.add(() -> victim.listener().preempt());
	}

}
