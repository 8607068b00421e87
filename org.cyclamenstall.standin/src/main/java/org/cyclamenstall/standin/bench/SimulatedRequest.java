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
 * Simulates the gateway for one streamed request: starts attempts and hedges, and resumes
 * the stream after a preemption. Not thread-safe.
 */
final class SimulatedRequest {

	private final Trial trial;

	private final RequestAttributes attributes;

	private final int outputTokens;

	private final boolean duringBurst;

	private final List<Attempt> runningAttempts = new ArrayList<>();

	private @Nullable Ticket ticket;

	private int receivedTokens;

	private boolean firstTokenSeen;

	SimulatedRequest(Trial trial, RequestAttributes attributes, int outputTokens, boolean duringBurst) {
		this.trial = trial;
		this.attributes = attributes;
		this.outputTokens = outputTokens;
		this.duringBurst = duringBurst;
	}

	void submit(TrafficController controller) {
		this.trial.result().recordArrival(this.attributes.tier(), this.duringBurst);
		this.trial.clock().schedule(0, () -> this.ticket = controller.submit(this.attributes, new Attempt()));
	}

	private Ticket ticket() {
		if (this.ticket == null) {
			throw new IllegalStateException("The request was not submitted");
		}
		return this.ticket;
	}

	private void scheduleHedge() {
		Optional<java.time.Duration> delay = ticket().hedgeDelay();
		delay.ifPresent((duration) -> this.trial.clock().schedule(duration.toNanos(), this::hedge));
	}

	private void hedge() {
		if (!this.firstTokenSeen && this.runningAttempts.size() == 1
				&& ticket().hedge(new Attempt()) == RetryDecision.GRANTED) {
			this.trial.result().recordHedge();
		}
	}

	/**
	 * Simulated attempt at one engine.
	 */
	private final class Attempt implements GrantListener, EngineStream {

		private @Nullable Grant grant;

		private @Nullable EngineModel engine;

		private int remainingTokens;

		private boolean responseStarted;

		@Override
		public void onGranted(Grant newGrant) {
			SimulatedRequest request = SimulatedRequest.this;
			this.grant = newGrant;
			this.engine = request.trial.engine(newGrant.upstream());
			this.remainingTokens = request.outputTokens - request.receivedTokens;
			request.trial.result().recordAttempt();
			request.trial.result().recordWait(request.trial.clock().nanoTime() - request.attributes.arrivalNanos());
			request.runningAttempts.add(this);
			this.engine.submit(this);
			// The controller may call this method before submit() returns the ticket.
			if (newGrant.attempt() == 1) {
				request.trial.clock().schedule(1, SimulatedRequest.this::scheduleHedge);
			}
		}

		@Override
		public void onRefused(Refusal refusal) {
			SimulatedRequest request = SimulatedRequest.this;
			request.trial.result().increment(request.attributes.tier(), TrialResult.RequestCounter.REFUSED);
		}

		@Override
		public void onPreempt() {
			SimulatedRequest.this.trial.clock().schedule(1_000_000, this::releasePreempted);
		}

		private void releasePreempted() {
			SimulatedRequest request = SimulatedRequest.this;
			if (!request.runningAttempts.contains(this)) {
				return;
			}
			end(AttemptResult.PREEMPTED);
			request.trial.result().recordPreemption();
			request.ticket().retry(RetryReason.PREEMPTED, new Attempt());
		}

		private void end(AttemptResult result) {
			SimulatedRequest.this.runningAttempts.remove(this);
			if (this.engine != null) {
				this.engine.end(this);
			}
			if (this.grant != null) {
				this.grant.release(result);
			}
		}

		@Override
		public int priority() {
			return SimulatedRequest.this.attributes.tier().ordinal();
		}

		@Override
		public int remainingTokens() {
			return this.remainingTokens;
		}

		@Override
		public void onTokens(int count) {
			SimulatedRequest request = SimulatedRequest.this;
			if (!this.responseStarted) {
				startResponse();
			}
			this.remainingTokens -= count;
			request.receivedTokens += count;
			if (this.grant != null) {
				this.grant.recordTokens(count);
			}
		}

		private void startResponse() {
			SimulatedRequest request = SimulatedRequest.this;
			this.responseStarted = true;
			if (this.grant != null && this.engine != null) {
				this.grant.recordLoad(this.engine.reportedLoad(), this.engine.slots(), this.engine.reportAgeMillis());
				this.grant.recordFirstToken();
			}
			if (!request.firstTokenSeen) {
				request.firstTokenSeen = true;
				request.trial.recordFirstToken(request.attributes, request.duringBurst);
			}
			for (Attempt other : List.copyOf(request.runningAttempts)) {
				if (other != this) {
					other.end(AttemptResult.HEDGE_LOST);
				}
			}
		}

		@Override
		public void onCompleted() {
			SimulatedRequest request = SimulatedRequest.this;
			end(AttemptResult.COMPLETED);
			request.trial.result().recordCompletion(request.attributes.tier(), request.outputTokens);
			request.ticket().finish(request.outputTokens);
		}

	}

}
