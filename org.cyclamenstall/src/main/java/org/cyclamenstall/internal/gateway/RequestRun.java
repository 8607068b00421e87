package org.cyclamenstall.internal.gateway;

import java.time.Duration;

import io.undertow.server.HttpServerExchange;
import org.cyclamenstall.claims.ClaimDecision;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.internal.upstream.AnswerHead;
import org.cyclamenstall.internal.upstream.AttemptFailure;
import org.cyclamenstall.internal.upstream.ResumePoint;
import org.cyclamenstall.internal.upstream.StreamEvent;
import org.cyclamenstall.internal.upstream.UpstreamAttempt;
import org.cyclamenstall.internal.upstream.WholeAnswer;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.Refusal;
import org.cyclamenstall.policy.RequestFacts;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.Ticket;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioIoThread;

/**
 * Runs one request from its submission to its answer. Invariants: the caller gets at most
 * one answer; a request that may have reached an upstream is never answered
 * {@code not-run}; a non-idempotent request is sent again only after proof that the
 * earlier attempt did not run; the ticket is finished after the last grant ended. Used on
 * the I/O thread of the exchange.
 */
final class RequestRun implements AnswerRelay.Pace {

	private static final int STATUS_OK = 200;

	private final HttpServerExchange exchange;

	private final CallerRequest request;

	private final GatewayServices services;

	private final XnioIoThread thread;

	private final RequestLifecycle lifecycle = new RequestLifecycle();

	private final AnswerRelay answer;

	private final RequestClaim claim;

	private final RelayProgress progress;

	private final RequestJournal journal;

	private final AttemptSet outstanding = new AttemptSet();

	private final RequestTimers timers;

	private @Nullable Ticket ticket;

	private @Nullable CallerWatch watch;

	private @Nullable AttemptRun winner;

	/** How the last attempt failed that may have run. */
	private ErrorKind unprovenFailure = ErrorKind.UPSTREAM_CONNECTION_LOST;

	private boolean mayHaveRun;

	private boolean callerLeft;

	private boolean finished;

	RequestRun(HttpServerExchange exchange, CallerRequest request, GatewayServices services) {
		this.exchange = exchange;
		this.request = request;
		this.services = services;
		this.thread = exchange.getIoThread();
		this.timers = new RequestTimers(this.thread);
		this.answer = new AnswerRelay(exchange, request.id(), services.writer(), this);
		this.claim = new RequestClaim(request, services.claims());
		this.progress = new RelayProgress(request.facts(), services);
		this.journal = new RequestJournal(request.facts(), services);
	}

	/**
	 * Submits the request.
	 */
	void start() {
		this.watch = CallerWatch.start(this.exchange, this::callerGone);
		this.lifecycle.moveTo(RequestState.QUEUED);
		Duration answerWithin = facts().terms().answerWithin();
		if (answerWithin != null) {
			long sinceArrival = this.services.clock().nanoTime() - facts().arrivalNanos();
			this.timers.after(answerWithin.minusNanos(sinceArrival), this::answerTimedOut);
		}
		AttemptRun first = new AttemptRun(this, this.thread);
		this.outstanding.add(first);
		this.ticket = this.services.controller().submit(facts(), first);
	}

	/**
	 * Takes a grant; claims a named request first.
	 * @param run the attempt that holds the grant
	 */
	void granted(AttemptRun run) {
		if (hasEnded()) {
			run.end(AttemptResult.NOT_SENT);
		}
		else if (this.claim.isMissing()) {
			this.services.blockingWork().execute(() -> {
				ClaimDecision decision = this.claim.decide();
				this.thread.execute(() -> claimDecided(run, decision));
			});
		}
		else {
			send(run);
		}
	}

	/**
	 * Takes the refusal of an attempt.
	 * @param run the attempt
	 * @param refusal why, and when to come back
	 */
	void refused(AttemptRun run, Refusal refusal) {
		this.outstanding.remove(run);
		if (this.outstanding.isEmpty()) {
			fail(refusal);
		}
		finishTicket();
	}

	/**
	 * Gives leave to send, which closes the door on {@code not-run}.
	 * @param run the attempt
	 * @return {@code false} if the request must not be sent
	 */
	boolean beginSending(AttemptRun run) {
		if (hasEnded()) {
			run.end(AttemptResult.NOT_SENT);
			return false;
		}
		if (!this.claim.beginSending()) {
			run.end(AttemptResult.NOT_SENT);
			fail(ErrorKind.CLAIM_EXPIRED, "the claim was older than its bound when it was to be sent");
			return false;
		}
		return this.lifecycle.moveTo(RequestState.SENDING);
	}

	void streamStarted(AttemptRun run, AnswerHead head) {
		if (!win(run) || this.answer.isStreaming()) {
			return;
		}
		this.answer.streamHead(run.grant().upstream().host(), head);
		this.lifecycle.moveTo(RequestState.ANSWERING);
	}

	void streamEvent(AttemptRun run, StreamEvent event) {
		if (!this.answer.isStreaming() || run != this.winner) {
			return;
		}
		this.progress.streamed(run.grant(), event);
		this.answer.event(event);
		if (this.answer.isBlocked()) {
			run.suspendReads();
		}
	}

	void streamEnded(AttemptRun run) {
		String upstream = run.grant().upstream().host();
		run.end(AttemptResult.COMPLETED);
		if (this.answer.isStreaming() && !hasEnded()) {
			conclude(AttemptResult.CANCELLED);
			this.journal.answered(upstream, STATUS_OK, this.progress);
			this.answer.finishStream();
		}
	}

	void wholeAnswer(AttemptRun run, WholeAnswer whole) {
		String upstream = run.grant().upstream().host();
		RequestJournal.Attempt ended = this.journal.attempt(run.grant());
		if (this.request.upstreamRequest().retriesServerErrors() && StatusPromise.isFailure(whole.status())) {
			failureAnswered(run, upstream, whole);
			this.journal.failureAnswered(ended, whole.status(), hasEnded() ? "passed on" : "tried again");
			return;
		}
		if (!win(run)) {
			return;
		}
		this.progress.whole(run.grant(), whole.tokens());
		run.end(AttemptResult.COMPLETED);
		this.claim.complete(whole);
		deliver(upstream, whole);
	}

	// Tries elsewhere after an upstream answered that it failed, and passes its answer on
	// if that is not allowed.
	private void failureAnswered(AttemptRun run, String upstream, WholeAnswer whole) {
		run.end(AttemptResult.FAILED);
		this.mayHaveRun = true;
		this.unprovenFailure = ErrorKind.UPSTREAM_FAILED;
		if (hasEnded() || !this.outstanding.isEmpty() || (mayRepeat() && retry(RetryReason.FAILED))) {
			return;
		}
		if (this.answer.isStreaming() || StatusPromise.isMadeBy(whole.status())) {
			fail(ErrorKind.UPSTREAM_FAILED, "the upstream answered " + whole.status());
			return;
		}
		deliver(upstream, whole);
	}

	void attemptFailed(AttemptRun run, AttemptFailure failure, String detail) {
		RequestJournal.Attempt ended = this.journal.attempt(run.grant());
		run.end(failure.attemptResult());
		if (failure.provesNotRun()) {
			this.claim.provedNotRun();
		}
		else {
			this.mayHaveRun = true;
			this.unprovenFailure = failure.errorKind();
		}
		if (run == this.winner) {
			this.winner = null;
		}
		if (hasEnded() || !this.outstanding.isEmpty()) {
			this.journal.attemptFailed(ended, failure, detail, "another attempt goes on");
			return;
		}
		boolean cut = this.answer.isStreaming() && !failure.provesNotRun();
		boolean again = mayRepeat() && retry(cut ? RetryReason.STREAM_CUT : failure.retryReason());
		this.journal.attemptFailed(ended, failure, detail, again ? "tried again" : "given up");
		if (!again) {
			fail(failure.errorKind(), detail);
		}
	}

	/**
	 * Gives a slot back and asks to resume elsewhere.
	 * @param run the attempt that holds the slot
	 */
	void preempted(AttemptRun run) {
		if (hasEnded()) {
			return;
		}
		this.mayHaveRun |= run.isSending();
		if (run == this.winner) {
			this.winner = null;
		}
		run.end(AttemptResult.PREEMPTED);
		if (this.outstanding.isEmpty() && !retry(RetryReason.PREEMPTED)) {
			fail(ErrorKind.UPSTREAM_CONNECTION_LOST, "the stream was preempted and could not be resumed");
		}
	}

	/**
	 * Is told that a grant ended.
	 * @param run the attempt that held it
	 */
	void grantEnded(AttemptRun run) {
		this.outstanding.remove(run);
		finishTicket();
	}

	@Override
	public void suspend() {
		if (this.winner != null) {
			this.winner.suspendReads();
		}
	}

	@Override
	public void resume() {
		if (this.winner != null) {
			this.winner.resumeReads();
		}
	}

	@Override
	public void callerGone() {
		if (this.callerLeft) {
			return;
		}
		this.callerLeft = true;
		if (hasEnded()) {
			return;
		}
		boolean goesOn = !facts().idempotent() && !facts().streamed() && this.lifecycle.state() == RequestState.SENDING;
		this.journal.callerLeft(goesOn);
		if (!goesOn) {
			conclude(AttemptResult.CANCELLED);
			this.claim.giveUp(this.mayHaveRun);
		}
		this.answer.abandon();
	}

	private void claimDecided(AttemptRun run, ClaimDecision decision) {
		if (decision instanceof ClaimDecision.Granted granted) {
			this.claim.take(granted.claim());
			if (hasEnded()) {
				this.claim.giveUp(this.mayHaveRun);
				run.end(AttemptResult.NOT_SENT);
			}
			else {
				send(run);
			}
			return;
		}
		run.end(AttemptResult.NOT_SENT);
		if (hasEnded()) {
			return;
		}
		if (decision instanceof ClaimDecision.Replayed replayed) {
			deliver(null, RequestClaim.replayed(replayed.answer()));
		}
		else if (decision instanceof ClaimDecision.Refused refusal) {
			fail(refusal.kind(), refusal.detail());
		}
	}

	private void send(AttemptRun run) {
		this.lifecycle.moveTo(this.answer.isStreaming() ? RequestState.ANSWERING : RequestState.CLAIMED);
		UpstreamAttempt attempt = new UpstreamAttempt(this.request.upstreamRequest(), run.grant().upstream(),
				this.request.id(), run.grant().attempt(), resumable() ? this.progress.resumePoint() : ResumePoint.START,
				this.services.connections(), this.thread, run);
		scheduleHedge();
		run.start(attempt);
	}

	private void scheduleHedge() {
		Ticket held = this.ticket;
		if (held == null || this.answer.isStreaming() || !facts().idempotent()) {
			return;
		}
		held.hedgeDelay().ifPresent((delay) -> this.timers.after(delay, this::hedge));
	}

	private void hedge() {
		Ticket held = this.ticket;
		if (hasEnded() || held == null || this.winner != null || !this.outstanding.isOneOpen()) {
			return;
		}
		AttemptRun second = new AttemptRun(this, this.thread);
		this.outstanding.add(second);
		if (held.hedge(second) != RetryDecision.GRANTED) {
			this.outstanding.remove(second);
		}
	}

	private boolean win(AttemptRun run) {
		if (this.winner == null) {
			this.winner = run;
			this.progress.answerStarted(run.grant());
			this.outstanding.endAllBut(run, AttemptResult.HEDGE_LOST);
		}
		return this.winner == run;
	}

	private boolean mayRepeat() {
		if (this.answer.isStreaming()) {
			return resumable();
		}
		return facts().idempotent() || !this.mayHaveRun;
	}

	private boolean resumable() {
		return facts().terms().resumable();
	}

	private boolean retry(RetryReason reason) {
		Ticket held = this.ticket;
		if (held == null || this.callerLeft) {
			return false;
		}
		AttemptRun next = new AttemptRun(this, this.thread);
		this.outstanding.add(next);
		if (held.retry(reason, next) != RetryDecision.GRANTED) {
			this.outstanding.remove(next);
			return false;
		}
		if (this.answer.isStreaming()) {
			this.journal.resumed(reason);
		}
		else {
			this.lifecycle.moveTo(RequestState.QUEUED);
		}
		return true;
	}

	private void answerTimedOut() {
		if (hasEnded()) {
			return;
		}
		this.mayHaveRun |= this.outstanding.isAnySending();
		fail(this.mayHaveRun ? ErrorKind.UPSTREAM_TIMEOUT : ErrorKind.DEADLINE_EXCEEDED,
				"no whole answer within the time that the request has");
	}

	private void fail(ErrorKind kind, String detail) {
		fail(new Refusal(kind, detail));
	}

	private void fail(Refusal refusal) {
		if (hasEnded()) {
			return;
		}
		conclude(AttemptResult.CANCELLED);
		boolean certain = this.claim.giveUp(this.mayHaveRun);
		ErrorReport report = certain ? ErrorReport.of(refusal)
				: ErrorReport.uncertain(refusal, this.mayHaveRun ? this.unprovenFailure : null);
		this.journal.failed(report, this.answer.isStreaming());
		if (!this.callerLeft) {
			this.answer.error(report);
		}
	}

	private void deliver(@Nullable String upstream, WholeAnswer whole) {
		if (hasEnded()) {
			return;
		}
		conclude(AttemptResult.CANCELLED);
		this.journal.answered((upstream != null) ? upstream : "", whole.status(), this.progress);
		if (!this.callerLeft) {
			this.answer.whole(upstream, whole);
		}
	}

	private void conclude(AttemptResult result) {
		this.mayHaveRun |= this.outstanding.isAnySending();
		this.lifecycle.end();
		this.timers.cancel();
		if (this.watch != null) {
			this.watch.stop();
		}
		this.outstanding.endAllBut(null, result);
		if (this.outstanding.isAnyWaiting() && this.ticket != null && this.ticket.withdraw()) {
			this.outstanding.removeWaiting();
		}
		finishTicket();
	}

	private void finishTicket() {
		if (hasEnded() && this.outstanding.isEmpty() && !this.finished && this.ticket != null) {
			this.finished = true;
			this.ticket.finish(this.progress.tokens());
		}
	}

	private boolean hasEnded() {
		return this.lifecycle.state() == RequestState.ENDED;
	}

	private RequestFacts facts() {
		return this.request.facts();
	}

}
