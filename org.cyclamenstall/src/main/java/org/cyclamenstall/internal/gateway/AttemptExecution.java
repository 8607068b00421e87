package org.cyclamenstall.internal.gateway;

import java.time.Duration;

import org.cyclamenstall.internal.http.BodyBudget;
import org.cyclamenstall.internal.upstream.AttemptFailure;
import org.cyclamenstall.internal.upstream.AttemptListener;
import org.cyclamenstall.internal.upstream.BufferedResponse;
import org.cyclamenstall.internal.upstream.ReportedLoad;
import org.cyclamenstall.internal.upstream.ResponseHead;
import org.cyclamenstall.internal.upstream.StreamEvent;
import org.cyclamenstall.internal.upstream.UpstreamAttempt;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.GrantListener;
import org.cyclamenstall.policy.Refusal;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioIoThread;

/**
 * Executes one attempt of a request: receives its grant from the traffic controller and
 * sends the request to the granted upstream. The controller calls from any thread; its
 * calls are passed to the I/O thread of the exchange, on which all other methods are
 * called. The grant is released exactly once.
 */
final class AttemptExecution implements GrantListener, AttemptListener {

	private final RequestExecution request;

	private final RequestGuard guard;

	private final XnioIoThread thread;

	private @Nullable Grant grant;

	private @Nullable UpstreamAttempt upstreamAttempt;

	AttemptExecution(RequestExecution request, XnioIoThread thread) {
		this.request = request;
		this.guard = request.guard();
		this.thread = thread;
	}

	@Override
	public void onGranted(Grant newGrant) {
		executeGuarded(() -> {
			this.grant = newGrant;
			this.request.onGranted(this);
		});
	}

	@Override
	public void onRefused(Refusal refusal) {
		executeGuarded(() -> this.request.onRefused(this, refusal));
	}

	@Override
	public void onPreempt() {
		executeGuarded(() -> {
			if (hasGrant()) {
				this.request.onPreempted(this);
			}
		});
	}

	private void executeGuarded(Runnable step) {
		this.thread.execute(() -> this.guard.run(step));
	}

	/**
	 * Returns the grant.
	 * @return the grant
	 * @throws IllegalStateException if there is none, or it was released
	 */
	Grant grant() {
		Grant current = this.grant;
		if (current == null) {
			throw new IllegalStateException("The attempt has no grant");
		}
		return current;
	}

	/**
	 * Returns whether the attempt has a grant that was not released.
	 * @return {@code true} from the grant until {@link #end}
	 */
	boolean hasGrant() {
		return this.grant != null;
	}

	/**
	 * Returns whether a byte of the request may have reached the upstream.
	 * @return {@code true} if the request may have been executed
	 */
	boolean hasStartedSending() {
		return this.upstreamAttempt != null && this.upstreamAttempt.hasStartedSending();
	}

	void start(UpstreamAttempt newAttempt, boolean onNewConnection) {
		this.upstreamAttempt = newAttempt;
		newAttempt.start(onNewConnection);
	}

	/**
	 * Releases the grant, and cancels the attempt if it is still running.
	 * @param result the result of the attempt
	 */
	void end(AttemptResult result) {
		Grant current = this.grant;
		this.grant = null;
		if (this.upstreamAttempt != null) {
			this.upstreamAttempt.cancel();
		}
		if (current != null) {
			this.guard.tolerate(() -> current.release(result));
			this.request.onGrantReleased(this);
		}
	}

	void suspendReads() {
		if (this.upstreamAttempt != null) {
			this.upstreamAttempt.suspendReads();
		}
	}

	void resumeReads() {
		if (this.upstreamAttempt != null) {
			this.upstreamAttempt.resumeReads();
		}
	}

	@Override
	public boolean beginSending(UpstreamAttempt source) {
		Grant current = this.grant;
		if (current != null && !this.guard.decide(current::maySend, true)) {
			executeGuarded(() -> this.request.onAttemptFailed(this, AttemptFailure.WITHDRAWN,
					"the upstream announced that it wants no requests"));
			return false;
		}
		return this.guard.decide(() -> this.request.beginSending(this), false);
	}

	@Override
	public void onStreamStarted(UpstreamAttempt source, ResponseHead responseHead) {
		this.guard.run(() -> this.request.onStreamStarted(this, responseHead));
	}

	@Override
	public void onStreamEvent(UpstreamAttempt source, StreamEvent event) {
		this.guard.run(() -> this.request.onStreamEvent(this, event));
	}

	@Override
	public void onStreamEnded(UpstreamAttempt source) {
		this.guard.run(() -> this.request.onStreamEnded(this));
	}

	@Override
	public void onResponse(UpstreamAttempt source, BufferedResponse response, BodyBudget.Reservation reservation) {
		this.guard.run(() -> this.request.onResponse(this, response));
		this.request.keepUntilWritten(reservation);
	}

	@Override
	public boolean continuesAfterTimeout(UpstreamAttempt source, String detail) {
		return this.guard.decide(() -> this.request.continuesAfterTimeout(this, detail), false);
	}

	@Override
	public void onFailed(UpstreamAttempt source, AttemptFailure failure, String detail) {
		this.guard.run(() -> this.request.onAttemptFailed(this, failure, detail));
	}

	@Override
	public void onLoadReported(UpstreamAttempt source, ReportedLoad load) {
		Grant current = this.grant;
		if (current != null) {
			this.guard.tolerate(() -> current.recordLoad(load.running(), load.slots(), load.ageMillis()));
		}
	}

	@Override
	public void onUpstreamUnavailable(UpstreamAttempt source, Duration duration) {
		Grant current = this.grant;
		if (current != null) {
			this.guard.tolerate(() -> current.recordUnavailable(duration));
		}
	}

	@Override
	public void onUpstreamDraining(UpstreamAttempt source) {
		Grant current = this.grant;
		if (current != null) {
			this.guard.tolerate(current::markUpstreamDraining);
		}
	}

}
