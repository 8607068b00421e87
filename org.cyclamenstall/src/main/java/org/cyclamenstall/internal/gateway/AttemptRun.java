package org.cyclamenstall.internal.gateway;

import org.cyclamenstall.internal.upstream.AnswerHead;
import org.cyclamenstall.internal.upstream.AttemptFailure;
import org.cyclamenstall.internal.upstream.AttemptListener;
import org.cyclamenstall.internal.upstream.ReportedLoad;
import org.cyclamenstall.internal.upstream.StreamEvent;
import org.cyclamenstall.internal.upstream.UpstreamAttempt;
import org.cyclamenstall.internal.upstream.WholeAnswer;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.GrantListener;
import org.cyclamenstall.policy.Refusal;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioIoThread;

/**
 * Joins one grant of the traffic controller with one attempt at an upstream. The
 * controller's calls come on any thread and are handed to the I/O thread; everything else
 * happens there. The grant is ended exactly once.
 */
final class AttemptRun implements GrantListener, AttemptListener {

	private final RequestRun run;

	private final XnioIoThread thread;

	private @Nullable Grant grant;

	private @Nullable UpstreamAttempt attempt;

	AttemptRun(RequestRun run, XnioIoThread thread) {
		this.run = run;
		this.thread = thread;
	}

	@Override
	public void granted(Grant given) {
		this.thread.execute(() -> {
			this.grant = given;
			this.run.granted(this);
		});
	}

	@Override
	public void refused(Refusal refusal) {
		this.thread.execute(() -> this.run.refused(this, refusal));
	}

	@Override
	public void preempt() {
		this.thread.execute(() -> {
			if (isOpen()) {
				this.run.preempted(this);
			}
		});
	}

	/**
	 * Returns the grant; only after it was given.
	 * @return the grant
	 */
	Grant grant() {
		Grant given = this.grant;
		if (given == null) {
			throw new IllegalStateException("The attempt holds no grant");
		}
		return given;
	}

	/**
	 * Returns whether the attempt holds a grant that has not ended.
	 * @return {@code true} if so
	 */
	boolean isOpen() {
		return this.grant != null;
	}

	/**
	 * Returns whether a byte of the request may have reached the upstream.
	 * @return {@code true} if so
	 */
	boolean isSending() {
		return this.attempt != null && this.attempt.isSending();
	}

	void start(UpstreamAttempt started) {
		this.attempt = started;
		started.start();
	}

	/**
	 * Ends the grant, and cancels the attempt if it still runs.
	 * @param result how the attempt ended
	 */
	void end(AttemptResult result) {
		Grant given = this.grant;
		this.grant = null;
		if (this.attempt != null) {
			this.attempt.cancel();
		}
		if (given != null) {
			given.ended(result);
			this.run.grantEnded(this);
		}
	}

	void suspendReads() {
		if (this.attempt != null) {
			this.attempt.suspendReads();
		}
	}

	void resumeReads() {
		if (this.attempt != null) {
			this.attempt.resumeReads();
		}
	}

	@Override
	public boolean beginSending(UpstreamAttempt sender) {
		return this.run.beginSending(this);
	}

	@Override
	public void streamStarted(UpstreamAttempt sender, AnswerHead head) {
		this.run.streamStarted(this, head);
	}

	@Override
	public void streamEvent(UpstreamAttempt sender, StreamEvent event) {
		this.run.streamEvent(this, event);
	}

	@Override
	public void streamEnded(UpstreamAttempt sender) {
		this.run.streamEnded(this);
	}

	@Override
	public void wholeAnswer(UpstreamAttempt sender, WholeAnswer answer) {
		this.run.wholeAnswer(this, answer);
	}

	@Override
	public void failed(UpstreamAttempt sender, AttemptFailure failure, String detail) {
		this.run.attemptFailed(this, failure, detail);
	}

	@Override
	public void loadReported(UpstreamAttempt sender, ReportedLoad load) {
		if (this.grant != null) {
			this.grant.loadReported(load.running(), load.slots(), load.ageMillis());
		}
	}

	@Override
	public void upstreamDraining(UpstreamAttempt sender) {
		if (this.grant != null) {
			this.grant.upstreamDraining();
		}
	}

}
