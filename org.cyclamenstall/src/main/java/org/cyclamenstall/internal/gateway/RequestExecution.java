package org.cyclamenstall.internal.gateway;

import java.time.Duration;

import io.undertow.server.HttpServerExchange;
import org.cyclamenstall.claims.ClaimDecision;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.internal.http.BodyBudget;
import org.cyclamenstall.internal.upstream.AttemptFailure;
import org.cyclamenstall.internal.upstream.BufferedResponse;
import org.cyclamenstall.internal.upstream.ResponseHead;
import org.cyclamenstall.internal.upstream.ResumePoint;
import org.cyclamenstall.internal.upstream.StreamEvent;
import org.cyclamenstall.internal.upstream.UpstreamAttempt;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.Refusal;
import org.cyclamenstall.policy.RequestAttributes;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.Ticket;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioIoThread;

/**
 * Executes one request from its submission to its response. Used on the I/O thread of the
 * exchange.
 * <p>
 * Invariants: an accepted request leaves by exactly one response, unless its caller
 * disconnected, whatever an event log, a metric or the traffic controller throws
 * ({@link RequestGuard}); a request that may have reached an upstream is never reported
 * as {@code not-run}; a non-idempotent request is sent again only after proof that the
 * earlier attempt was not executed; the ticket is finished after the last grant was
 * released.
 */
final class RequestExecution implements ResponseRelay.FlowControl {

	private static final int STATUS_OK = 200;

	private final HttpServerExchange exchange;

	private final CallerRequest request;

	private final GatewayServices services;

	private final XnioIoThread thread;

	private final RequestLifecycle lifecycle = new RequestLifecycle();

	private final ResponseRelay relay;

	private final RequestClaim claim;

	private final RelayProgress progress;

	private final RequestEventRecorder recorder;

	private final RequestGuard guard;

	private final AttemptSet attempts = new AttemptSet();

	private final AttemptReplacement replacement = new AttemptReplacement();

	private final RequestTimers timers;

	private @Nullable Ticket ticket;

	private @Nullable CallerDisconnectDetector disconnectDetector;

	/** Attempt whose response is relayed, or {@code null} while there is none. */
	private @Nullable AttemptExecution winner;

	/**
	 * Error kind of the last failed attempt that may have been executed. The initial
	 * value applies to attempts that were cancelled before they failed.
	 */
	private ErrorKind lastInconclusiveFailure = ErrorKind.UPSTREAM_CONNECTION_LOST;

	private boolean mayHaveRun;

	/** Whether sending was ever permitted; unlike the state, it is never reset. */
	private boolean sendingBegan;

	private boolean callerDisconnected;

	/** Whether the response, or its end if it is a stream, was passed to the relay. */
	private boolean answered;

	private boolean ticketFinished;

	RequestExecution(HttpServerExchange exchange, CallerRequest request, GatewayServices services) {
		this.exchange = exchange;
		this.request = request;
		this.services = services;
		this.thread = exchange.getIoThread();
		this.guard = new RequestGuard(request.id(), this::failInternally);
		this.timers = new RequestTimers(this.thread);
		this.relay = new ResponseRelay(exchange, request.id(), services.writer(), this);
		this.claim = new RequestClaim(request, services.claims());
		this.progress = new RelayProgress(request.attributes(), services);
		this.recorder = new RequestEventRecorder(request.attributes(), services);
	}

	/**
	 * Submits the request to the traffic controller.
	 */
	void start() {
		this.guard.run(this::submit);
	}

	private void submit() {
		this.disconnectDetector = CallerDisconnectDetector.start(this.exchange,
				() -> this.guard.run(this::onCallerDisconnected));
		this.lifecycle.moveTo(RequestState.QUEUED);
		Duration responseTimeout = attributes().options().responseTimeout();
		if (responseTimeout != null) {
			long sinceArrival = this.services.clock().nanoTime() - attributes().arrivalNanos();
			schedule(responseTimeout.minusNanos(sinceArrival), this::onResponseTimeout);
		}
		AttemptExecution firstAttempt = new AttemptExecution(this, this.thread);
		this.attempts.add(firstAttempt);
		this.ticket = this.services.controller().submit(attributes(), firstAttempt);
	}

	/**
	 * Returns the guard of the steps of this request.
	 * @return the guard
	 */
	RequestGuard guard() {
		return this.guard;
	}

	private void schedule(Duration delay, Runnable step) {
		this.timers.schedule(delay, () -> this.guard.run(step));
	}

	// A response that can be neither completed nor replaced is cut off.
	private void failInternally() {
		this.mayHaveRun |= this.sendingBegan;
		Refusal cause = new Refusal(ErrorKind.INTERNAL, "internal error in the daemon");
		if (!hasEnded()) {
			this.guard.tolerate(() -> fail(cause));
		}
		if (!isSettled() && !this.exchange.isResponseStarted()) {
			this.guard.tolerate(() -> writeError(ErrorReport.ofUnknownOutcome(cause, null)));
		}
		if (!isSettled()) {
			CallerConnections.abort(this.exchange);
		}
	}

	private boolean isSettled() {
		return this.answered || this.callerDisconnected;
	}

	/**
	 * Ends the request with a final response, because the process ends. Has no effect if
	 * the request has ended.
	 */
	void endBeforeShutdown() {
		this.guard.run(() -> fail(ErrorKind.SHUTTING_DOWN,
				"the daemon shuts down before the request was answered completely"));
	}

	private void writeError(ErrorReport report) {
		this.relay.writeError(report);
		this.answered = true;
	}

	/**
	 * Acquires the claim if one is needed, then sends the request with the grant. If the
	 * request has already ended, the attempt is ended unsent.
	 * @param attempt the attempt that has the grant
	 */
	void onGranted(AttemptExecution attempt) {
		if (hasEnded() || !this.attempts.contains(attempt)) {
			attempt.end(AttemptResult.NOT_SENT);
		}
		else if (this.claim.isPending()) {
			this.services.blockingExecutor().execute(() -> {
				ClaimDecision decision = this.claim.acquire();
				this.thread.execute(() -> this.guard.run(() -> onClaimDecision(attempt, decision)));
			});
		}
		else {
			send(attempt);
		}
	}

	/**
	 * Removes a refused attempt. The request fails with the refusal unless another
	 * attempt is in progress.
	 * @param attempt the attempt
	 * @param refusal the cause, and when the caller should retry
	 */
	void onRefused(AttemptExecution attempt, Refusal refusal) {
		this.attempts.remove(attempt);
		if (this.attempts.isEmpty()) {
			fail(refusal);
		}
		finishTicket();
	}

	/**
	 * Marks the request as being sent, directly before its first byte is sent. From then
	 * on it is reported as {@code not-run} only if it is proven that no upstream executed
	 * it. If the request has ended or its claim has expired, the attempt is ended
	 * instead; an expired claim also fails the request.
	 * @param attempt the attempt
	 * @return {@code false} if the request must not be sent
	 */
	boolean beginSending(AttemptExecution attempt) {
		if (hasEnded()) {
			attempt.end(AttemptResult.NOT_SENT);
			return false;
		}
		if (!this.claim.beginSending()) {
			attempt.end(AttemptResult.NOT_SENT);
			fail(ErrorKind.CLAIM_EXPIRED, "the claim exceeded its maximum age before the request was sent");
			return false;
		}
		this.sendingBegan = true;
		return this.lifecycle.moveTo(RequestState.SENDING);
	}

	void onStreamStarted(AttemptExecution attempt, ResponseHead responseHead) {
		endSilentAttempt(attempt);
		if (!selectWinner(attempt) || this.relay.isStreaming()) {
			return;
		}
		this.relay.startStream(attempt.grant().upstream().host(), responseHead);
		this.lifecycle.moveTo(RequestState.RESPONDING);
	}

	void onStreamEvent(AttemptExecution attempt, StreamEvent event) {
		if (!this.relay.isStreaming() || attempt != this.winner) {
			return;
		}
		if (this.replacement.isSilent(attempt)) {
			endReplacement();
		}
		this.guard.tolerate(() -> this.progress.recordEvent(attempt.grant(), event));
		this.relay.writeEvent(event);
		if (this.relay.isBlocked()) {
			attempt.suspendReads();
		}
	}

	void onStreamEnded(AttemptExecution attempt) {
		String upstream = attempt.grant().upstream().host();
		attempt.end(AttemptResult.COMPLETED);
		if (this.relay.isStreaming() && !hasEnded()) {
			end(AttemptResult.CANCELLED);
			this.guard.tolerate(() -> this.recorder.recordResponse(upstream, STATUS_OK, this.progress));
			this.relay.finishStream();
			this.answered = true;
		}
	}

	void onResponse(AttemptExecution attempt, BufferedResponse response) {
		String upstream = attempt.grant().upstream().host();
		RequestEventRecorder.Attempt endedAttempt = this.recorder.recordAttempt(attempt.grant());
		if (this.relay.isStreaming() || isRetriedErrorResponse(response)) {
			onErrorResponse(attempt, upstream, response);
			this.recorder.recordErrorResponse(endedAttempt, response.status(),
					hasEnded() ? "passed on" : "tried again");
			return;
		}
		if (!selectWinner(attempt)) {
			return;
		}
		this.guard.tolerate(() -> this.progress.recordResponseTokens(attempt.grant(), response.tokens()));
		attempt.end(AttemptResult.COMPLETED);
		this.claim.complete(response);
		sendResponse(upstream, response);
	}

	/**
	 * Releases the memory of a response when the caller has read it, or is gone.
	 * @param reservation the reservation of the response
	 */
	void keepUntilWritten(BodyBudget.Reservation reservation) {
		this.relay.keepUntilWritten(reservation);
	}

	private boolean isRetriedErrorResponse(BufferedResponse response) {
		return this.request.upstreamRequest().retriesErrorResponses() && FailureStatuses.isFailure(response.status());
	}

	// Retries on another upstream after an error response, or after any response that is
	// not the rest of a stream that has started. If no retry is allowed, the response is
	// forwarded, unless a stream has started or the status implies that the request was
	// not executed.
	private void onErrorResponse(AttemptExecution attempt, String upstream, BufferedResponse response) {
		attempt.end(AttemptResult.FAILED);
		this.mayHaveRun = true;
		this.lastInconclusiveFailure = ErrorKind.UPSTREAM_FAILED;
		RetryReason reason = this.relay.isStreaming() ? RetryReason.STREAM_CUT : RetryReason.FAILED;
		if (hasEnded() || !this.attempts.isEmpty() || retryIfAllowed(reason) == RetryDecision.GRANTED) {
			return;
		}
		if (this.relay.isStreaming() || FailureStatuses.impliesNotRun(response.status())) {
			fail(ErrorKind.UPSTREAM_FAILED, "the upstream responded with status " + response.status());
			return;
		}
		sendResponse(upstream, response);
	}

	/**
	 * Requests an attempt that replaces one whose upstream is silent, once a part of the
	 * stream was relayed. The silent attempt goes on until the replacement delivers its
	 * first event, because its upstream may only pause, and the replacement may be
	 * refused or fail. If no other attempt is allowed or the replacement fails, it goes
	 * on until the timeout of the response.
	 * @param attempt the silent attempt
	 * @param detail the detail message
	 * @return {@code false} if the attempt must fail, because no part was relayed or its
	 * timeouts are final
	 */
	boolean continuesAfterTimeout(AttemptExecution attempt, String detail) {
		if (hasEnded() || !this.relay.isStreaming() || !isResumable()
				|| this.request.upstreamRequest().timeoutsAreFinal()) {
			return false;
		}
		if (!this.replacement.isPending()) {
			RetryDecision decision = requestReplacement(attempt);
			this.guard.tolerate(() -> this.recorder.recordSilentAttempt(attempt.grant(), detail, decision));
		}
		return true;
	}

	private RetryDecision requestReplacement(AttemptExecution attempt) {
		Ticket currentTicket = this.ticket;
		if (currentTicket == null || this.callerDisconnected) {
			return RetryDecision.CALLER_DISCONNECTED;
		}
		AttemptExecution newAttempt = new AttemptExecution(this, this.thread);
		this.attempts.add(newAttempt);
		RetryDecision decision = currentTicket.replace(attempt.grant(), RetryReason.STREAM_CUT, newAttempt);
		if (decision != RetryDecision.GRANTED) {
			this.attempts.remove(newAttempt);
			return decision;
		}
		this.replacement.begin(attempt, newAttempt);
		this.guard.tolerate(() -> this.recorder.recordResume(RetryReason.STREAM_CUT));
		return decision;
	}

	// The response goes on with the replacement.
	private void endSilentAttempt(AttemptExecution newAttempt) {
		AttemptExecution silentAttempt = this.replacement.silentAttempt();
		if (silentAttempt == null || !this.replacement.isReplacing(newAttempt)) {
			return;
		}
		this.mayHaveRun = true;
		this.lastInconclusiveFailure = ErrorKind.UPSTREAM_TIMEOUT;
		if (this.winner == silentAttempt) {
			this.winner = null;
		}
		silentAttempt.end(AttemptResult.TIMED_OUT);
	}

	// The response goes on with the attempt that was silent.
	private void endReplacement() {
		AttemptExecution newAttempt = this.replacement.newAttempt();
		if (newAttempt == null) {
			return;
		}
		this.replacement.forget(newAttempt);
		this.attempts.remove(newAttempt);
		newAttempt.end(newAttempt.hasStartedSending() ? AttemptResult.CANCELLED : AttemptResult.NOT_SENT);
	}

	void onAttemptFailed(AttemptExecution attempt, AttemptFailure failure, String detail) {
		RequestEventRecorder.Attempt endedAttempt = this.recorder.recordAttempt(attempt.grant());
		attempt.end(failure.attemptResult());
		if (failure.provesNotRun()) {
			this.claim.recordNotExecuted();
		}
		else {
			this.mayHaveRun = true;
			this.lastInconclusiveFailure = failure.errorKind();
		}
		if (attempt == this.winner) {
			this.winner = null;
		}
		if (hasEnded() || !this.attempts.isEmpty()) {
			this.guard.tolerate(
					() -> this.recorder.recordAttemptFailure(endedAttempt, failure, detail, "another attempt goes on"));
			return;
		}
		boolean interrupted = this.relay.isStreaming() && !failure.provesNotRun();
		RetryDecision decision = retryIfAllowed(interrupted ? RetryReason.STREAM_CUT : failure.retryReason());
		this.guard.tolerate(() -> this.recorder.recordAttemptFailure(endedAttempt, failure, detail, decision));
		if (decision != RetryDecision.GRANTED) {
			fail(failure.errorKind(), detail);
		}
	}

	/**
	 * Ends a preempted attempt, which releases its slot. Unless another attempt is in
	 * progress, requests one that resumes the stream; if it is denied, the request fails.
	 * @param attempt the preempted attempt
	 */
	void onPreempted(AttemptExecution attempt) {
		if (hasEnded()) {
			return;
		}
		this.mayHaveRun |= attempt.hasStartedSending();
		if (attempt == this.winner) {
			this.winner = null;
		}
		attempt.end(AttemptResult.PREEMPTED);
		if (this.attempts.isEmpty() && retry(RetryReason.PREEMPTED) != RetryDecision.GRANTED) {
			fail(ErrorKind.UPSTREAM_CONNECTION_LOST, "the stream was preempted and could not be resumed");
		}
	}

	/**
	 * Removes an attempt whose grant was released.
	 * @param attempt the attempt
	 */
	void onGrantReleased(AttemptExecution attempt) {
		this.attempts.remove(attempt);
		this.replacement.forget(attempt);
		finishTicket();
	}

	@Override
	public void suspendUpstream() {
		if (this.winner != null) {
			this.winner.suspendReads();
		}
	}

	@Override
	public void resumeUpstream() {
		if (this.winner != null) {
			this.winner.resumeReads();
		}
	}

	@Override
	public void onCallerDisconnected() {
		if (this.callerDisconnected) {
			return;
		}
		this.callerDisconnected = true;
		if (hasEnded()) {
			return;
		}
		boolean continues = !attributes().idempotent() && !attributes().streamed()
				&& this.lifecycle.state() == RequestState.SENDING;
		this.guard.tolerate(() -> this.recorder.recordCallerDisconnect(continues));
		if (!continues) {
			end(AttemptResult.CANCELLED);
			settleClaim();
		}
		this.relay.abort();
	}

	private void onClaimDecision(AttemptExecution attempt, ClaimDecision decision) {
		if (decision instanceof ClaimDecision.Granted granted) {
			this.claim.attach(granted.claim());
			if (hasEnded()) {
				this.claim.settleWithoutResponse(this.mayHaveRun);
				attempt.end(AttemptResult.NOT_SENT);
			}
			else {
				send(attempt);
			}
			return;
		}
		attempt.end(AttemptResult.NOT_SENT);
		if (hasEnded()) {
			return;
		}
		if (decision instanceof ClaimDecision.Replayed replayed) {
			sendResponse(null, RequestClaim.fromStored(replayed.response()));
		}
		else if (decision instanceof ClaimDecision.Refused refusal) {
			fail(refusal.kind(), refusal.detail());
		}
	}

	private void send(AttemptExecution attempt) {
		this.lifecycle.moveTo(this.relay.isStreaming() ? RequestState.RESPONDING : RequestState.GRANTED);
		UpstreamAttempt upstreamAttempt = new UpstreamAttempt(this.request.upstreamRequest(),
				attempt.grant().upstream(), this.request.id(), attempt.grant().attempt(),
				isResumable() ? this.progress.resumePoint() : ResumePoint.START, this.services.connectionPool(),
				this.thread, attempt);
		scheduleHedge();
		// Other pooled connections may have been dropped as well.
		boolean connectionLost = this.mayHaveRun && this.lastInconclusiveFailure == ErrorKind.UPSTREAM_CONNECTION_LOST;
		attempt.start(upstreamAttempt, connectionLost);
	}

	private void scheduleHedge() {
		Ticket currentTicket = this.ticket;
		if (currentTicket == null || this.relay.isStreaming() || !attributes().idempotent()) {
			return;
		}
		currentTicket.hedgeDelay().ifPresent((delay) -> schedule(delay, this::startHedge));
	}

	private void startHedge() {
		Ticket currentTicket = this.ticket;
		if (hasEnded() || currentTicket == null || this.winner != null || !this.attempts.hasSingleAttemptWithGrant()) {
			return;
		}
		AttemptExecution hedgeAttempt = new AttemptExecution(this, this.thread);
		this.attempts.add(hedgeAttempt);
		if (currentTicket.hedge(hedgeAttempt) != RetryDecision.GRANTED) {
			this.attempts.remove(hedgeAttempt);
		}
	}

	private boolean selectWinner(AttemptExecution attempt) {
		if (this.winner == null) {
			this.winner = attempt;
			this.guard.tolerate(() -> this.progress.recordStart(attempt.grant()));
			this.attempts.endAllExcept(attempt, AttemptResult.HEDGE_LOST);
		}
		return this.winner == attempt;
	}

	private boolean mayRetry() {
		if (this.relay.isStreaming()) {
			return isResumable();
		}
		return attributes().idempotent() || !this.mayHaveRun;
	}

	private boolean isResumable() {
		return attributes().options().resumable();
	}

	private RetryDecision retryIfAllowed(RetryReason reason) {
		return mayRetry() ? retry(reason) : RetryDecision.NOT_REPEATABLE;
	}

	private RetryDecision retry(RetryReason reason) {
		Ticket currentTicket = this.ticket;
		if (currentTicket == null || this.callerDisconnected) {
			return RetryDecision.CALLER_DISCONNECTED;
		}
		AttemptExecution retryAttempt = new AttemptExecution(this, this.thread);
		this.attempts.add(retryAttempt);
		RetryDecision decision = currentTicket.retry(reason, retryAttempt);
		if (decision != RetryDecision.GRANTED) {
			this.attempts.remove(retryAttempt);
			return decision;
		}
		if (this.relay.isStreaming()) {
			this.recorder.recordResume(reason);
		}
		else {
			this.lifecycle.moveTo(RequestState.QUEUED);
		}
		return decision;
	}

	private void onResponseTimeout() {
		if (hasEnded()) {
			return;
		}
		this.mayHaveRun |= this.attempts.hasAnyStartedSending();
		fail(this.mayHaveRun ? ErrorKind.UPSTREAM_TIMEOUT : ErrorKind.DEADLINE_EXCEEDED,
				"no complete response before the deadline of the request");
	}

	private void fail(ErrorKind kind, String detail) {
		fail(new Refusal(kind, detail));
	}

	private void fail(Refusal refusal) {
		if (hasEnded()) {
			return;
		}
		end(AttemptResult.CANCELLED);
		ErrorReport report = settleClaim() ? ErrorReport.of(refusal)
				: ErrorReport.ofUnknownOutcome(refusal, this.mayHaveRun ? this.lastInconclusiveFailure : null);
		this.guard.tolerate(() -> this.recorder.recordRequestFailure(report, this.relay.isStreaming()));
		if (!this.callerDisconnected) {
			writeError(report);
		}
	}

	// A claim that cannot be settled proves nothing.
	private boolean settleClaim() {
		return this.guard.tolerate(() -> this.claim.settleWithoutResponse(this.mayHaveRun), false);
	}

	private void sendResponse(@Nullable String upstream, BufferedResponse response) {
		if (hasEnded()) {
			return;
		}
		end(AttemptResult.CANCELLED);
		this.guard.tolerate(() -> this.recorder.recordResponse((upstream != null) ? upstream : "", response.status(),
				this.progress));
		if (!this.callerDisconnected) {
			this.relay.writeResponse(upstream, response);
			this.answered = true;
		}
	}

	// Ends the request: ends all attempts that have a grant with the result, and
	// withdraws an attempt that waits for a grant. Never throws, because the response is
	// written afterwards.
	private void end(AttemptResult result) {
		this.mayHaveRun |= this.attempts.hasAnyStartedSending();
		this.lifecycle.end();
		this.timers.cancelAll();
		if (this.disconnectDetector != null) {
			this.disconnectDetector.stop();
		}
		this.guard.tolerate(() -> this.attempts.endAllExcept(null, result));
		this.guard.tolerate(this::withdrawWaiting);
		finishTicket();
	}

	private void withdrawWaiting() {
		if (this.attempts.isAnyWaiting() && this.ticket != null && this.ticket.withdraw()) {
			this.attempts.removeWaiting();
		}
	}

	private void finishTicket() {
		Ticket currentTicket = this.ticket;
		if (hasEnded() && this.attempts.isEmpty() && !this.ticketFinished && currentTicket != null) {
			this.ticketFinished = true;
			this.guard.tolerate(() -> currentTicket.finish(this.progress.tokens()));
		}
	}

	private boolean hasEnded() {
		return this.lifecycle.state() == RequestState.ENDED;
	}

	private RequestAttributes attributes() {
		return this.request.attributes();
	}

}
