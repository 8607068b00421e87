package org.cyclamenstall.standin.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.GrantListener;
import org.cyclamenstall.policy.Refusal;
import org.cyclamenstall.policy.RequestAttributes;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.Ticket;
import org.cyclamenstall.policy.TrafficController;
import org.jspecify.annotations.Nullable;

/**
 * Plays the gateway's part for one streamed request: sends attempts, hedges, resumes a
 * preempted stream. Not thread-safe.
 */
final class SimulatedRequest {

	private final Trial trial;

	private final RequestAttributes facts;

	private final int outputTokens;

	private final boolean crest;

	private final List<Attempt> running = new ArrayList<>();

	private @Nullable Ticket ticket;

	private int received;

	private boolean firstTokenSeen;

	SimulatedRequest(Trial trial, RequestAttributes facts, int outputTokens, boolean crest) {
		this.trial = trial;
		this.facts = facts;
		this.outputTokens = outputTokens;
		this.crest = crest;
	}

	void submit(TrafficController controller) {
		this.trial.result().arrived(this.facts.tier(), this.crest);
		this.trial.time().after(0, () -> this.ticket = controller.submit(this.facts, new Attempt()));
	}

	private Ticket ticket() {
		if (this.ticket == null) {
			throw new IllegalStateException("Not submitted");
		}
		return this.ticket;
	}

	private void scheduleHedge() {
		Optional<java.time.Duration> delay = ticket().hedgeDelay();
		delay.ifPresent((duration) -> this.trial.time().after(duration.toNanos(), this::hedge));
	}

	private void hedge() {
		if (!this.firstTokenSeen && this.running.size() == 1
				&& ticket().hedge(new Attempt()) == RetryDecision.GRANTED) {
			this.trial.result().hedge();
		}
	}

	/**
	 * Plays one attempt.
	 */
	private final class Attempt implements GrantListener, EngineStream {

		private @Nullable Grant grant;

		private @Nullable EngineModel engine;

		private int remaining;

		private boolean answering;

		@Override
		public void onGranted(Grant given) {
			SimulatedRequest request = SimulatedRequest.this;
			this.grant = given;
			this.engine = request.trial.engine(given.upstream());
			this.remaining = request.outputTokens - request.received;
			request.trial.result().attempt();
			request.trial.result().waited(request.trial.time().nanoTime() - request.facts.arrivalNanos());
			request.running.add(this);
			this.engine.accept(this);
			if (given.attempt() == 1) {
				request.trial.time().after(1, SimulatedRequest.this::scheduleHedge);
			}
		}

		@Override
		public void onRefused(Refusal refused) {
			SimulatedRequest request = SimulatedRequest.this;
			request.trial.result().count(request.facts.tier(), TrialResult.Column.REFUSED);
		}

		@Override
		public void onPreempt() {
			SimulatedRequest.this.trial.time().after(1_000_000, this::giveUp);
		}

		private void giveUp() {
			SimulatedRequest request = SimulatedRequest.this;
			if (!request.running.contains(this)) {
				return;
			}
			end(AttemptResult.PREEMPTED);
			request.trial.result().preemption();
			request.ticket().retry(RetryReason.PREEMPTED, new Attempt());
		}

		private void end(AttemptResult result) {
			SimulatedRequest.this.running.remove(this);
			if (this.engine != null) {
				this.engine.cancel(this);
			}
			if (this.grant != null) {
				this.grant.release(result);
			}
		}

		@Override
		public int priority() {
			return SimulatedRequest.this.facts.tier().ordinal();
		}

		@Override
		public int remaining() {
			return this.remaining;
		}

		@Override
		public void produced(int count) {
			SimulatedRequest request = SimulatedRequest.this;
			if (!this.answering) {
				startAnswering();
			}
			this.remaining -= count;
			request.received += count;
			if (this.grant != null) {
				this.grant.recordTokens(count);
			}
		}

		private void startAnswering() {
			SimulatedRequest request = SimulatedRequest.this;
			this.answering = true;
			if (this.grant != null && this.engine != null) {
				this.grant.recordLoad(this.engine.reportedRunning(), this.engine.slots(),
						this.engine.reportAgeMillis());
				this.grant.recordFirstToken();
			}
			if (!request.firstTokenSeen) {
				request.firstTokenSeen = true;
				request.trial.firstToken(request.facts, request.crest);
			}
			for (Attempt other : List.copyOf(request.running)) {
				if (other != this) {
					other.end(AttemptResult.HEDGE_LOST);
				}
			}
		}

		@Override
		public void completed() {
			SimulatedRequest request = SimulatedRequest.this;
			end(AttemptResult.COMPLETED);
			request.trial.result().completed(request.facts.tier(), request.outputTokens);
			request.ticket().finish(request.outputTokens);
		}

	}

}
