package org.cyclamenstall.internal.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.claims.ClaimDecision;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.ErrorTable;
import org.cyclamenstall.errors.Outcome;
import org.cyclamenstall.internal.upstream.AttemptFailure;
import org.cyclamenstall.internal.upstream.StreamEvent;
import org.cyclamenstall.internal.upstream.UpstreamAttempt;
import org.cyclamenstall.internal.upstream.UpstreamRequest;
import org.cyclamenstall.internal.upstream.WholeAnswer;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.Ticket;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Runs one request from its submission to its answer. Invariants: the caller gets at most
 * one answer; a request that may have reached an upstream is never answered
 * {@code not-run}; a non-idempotent request is sent again only after proof that the
 * earlier attempt did not run; the ticket is finished after the last grant ended. Used on
 * the I/O thread of the exchange.
 */
final class RequestRun implements CallerStream.Listener {

	private static final Logger logger = LogManager.getLogger(RequestRun.class);

	private static final Duration MAXIMUM_CALLER_STALL = Duration.ofSeconds(30);

	private static final double MILLIS_PER_SECOND = 1_000;

	private final HttpServerExchange exchange;

	private final CallerRequest request;

	private final GatewayServices services;

	private final XnioIoThread thread;

	private final RequestLifecycle lifecycle = new RequestLifecycle();

	private final UpstreamRequest upstreamRequest;

	private final RequestClaim claim;

	private final RelayProgress progress;

	private final List<AttemptRun> outstanding = new ArrayList<>();

	private final List<XnioExecutor.Key> timers = new ArrayList<>();

	private @Nullable Ticket ticket;

	private @Nullable CallerWatch watch;

	private @Nullable AttemptRun winner;

	private @Nullable CallerStream stream;

	private XnioExecutor.@Nullable Key stallTimer;

	private boolean mayHaveRun;

	private boolean callerLeft;

	private boolean callerBlocked;

	private boolean finished;

	RequestRun(HttpServerExchange exchange, CallerRequest request, GatewayServices services) {
		this.exchange = exchange;
		this.request = request;
		this.services = services;
		this.thread = exchange.getIoThread();
		this.upstreamRequest = UpstreamRequests.of(request, services.policy());
		this.claim = new RequestClaim(request, services.claims());
		this.progress = new RelayProgress(request.facts(), services);
	}

	/**
	 * Submits the request.
	 */
	void start() {
		this.watch = CallerWatch.start(this.exchange, this::callerGone);
		this.lifecycle.moveTo(RequestState.QUEUED);
		Double answerSeconds = this.request.facts().entry().effectiveLimits().answerSeconds();
		if (answerSeconds != null) {
			after(Duration.ofMillis((long) (answerSeconds * MILLIS_PER_SECOND)), this::answerTimedOut);
		}
		AttemptRun first = new AttemptRun(this, this.thread);
		this.outstanding.add(first);
		this.ticket = this.services.controller().submit(this.request.facts(), first);
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
	 * @param kind why
	 * @param detail the detail for the caller
	 */
	void refused(AttemptRun run, ErrorKind kind, String detail) {
		this.outstanding.remove(run);
		if (this.outstanding.isEmpty()) {
			fail(kind, detail);
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

	void streamStarted(AttemptRun run) {
		if (!win(run) || this.stream != null) {
			return;
		}
		this.services.writer().streamHead(this.exchange, this.request.id(), run.grant().upstream().host());
		this.stream = new CallerStream(this.exchange, this);
		this.lifecycle.moveTo(RequestState.ANSWERING);
	}

	void streamEvent(AttemptRun run, StreamEvent event) {
		if (this.stream == null || run != this.winner) {
			return;
		}
		if (event.tokens() > 0) {
			this.progress.streamed(run.grant(), event.tokens());
		}
		this.stream.event(event.data());
		if (this.callerBlocked) {
			run.suspendReads();
		}
	}

	void streamEnded(AttemptRun run) {
		run.end(AttemptResult.COMPLETED);
		if (this.stream != null && !hasEnded()) {
			answered();
			this.stream.finish();
		}
	}

	void wholeAnswer(AttemptRun run, WholeAnswer answer) {
		String upstream = run.grant().upstream().host();
		if (!win(run)) {
			return;
		}
		this.progress.whole(run.grant(), answer.tokens());
		run.end(AttemptResult.COMPLETED);
		this.claim.complete(answer);
		if (hasEnded()) {
			return;
		}
		answered();
		if (!this.callerLeft) {
			this.services.writer().whole(this.exchange, this.request.id(), upstream, answer);
		}
	}

	void attemptFailed(AttemptRun run, AttemptFailure failure, String detail) {
		run.end(failure.attemptResult());
		if (failure.provesNotRun()) {
			this.claim.provedNotRun();
		}
		else {
			this.mayHaveRun = true;
		}
		if (run == this.winner) {
			this.winner = null;
		}
		if (hasEnded() || !this.outstanding.isEmpty()) {
			return;
		}
		logger.debug("Attempt of {} failed: {} {}", this.request.id(), failure, detail);
		if (!mayRepeat() || !retry((this.stream != null) ? RetryReason.STREAM_CUT : failure.retryReason())) {
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
	public void blocked() {
		this.callerBlocked = true;
		if (this.winner != null) {
			this.winner.suspendReads();
		}
		this.stallTimer = this.thread.executeAfter(this::callerStalled, MAXIMUM_CALLER_STALL.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void drained() {
		this.callerBlocked = false;
		stopStallTimer();
		if (this.winner != null) {
			this.winner.resumeReads();
		}
	}

	@Override
	public void broken() {
		callerGone();
	}

	private void callerStalled() {
		logger.info("Caller of {} read nothing for {} s", this.request.id(), MAXIMUM_CALLER_STALL.toSeconds());
		IoUtils.safeClose(this.exchange.getConnection());
		callerGone();
	}

	private void callerGone() {
		if (this.callerLeft) {
			return;
		}
		this.callerLeft = true;
		stopStallTimer();
		if (hasEnded()) {
			return;
		}
		this.services.metrics().callerLeft();
		boolean mustGoOn = !this.request.facts().idempotent() && this.lifecycle.state() == RequestState.SENDING;
		if (!mustGoOn) {
			conclude(AttemptResult.CANCELLED);
			this.claim.giveUp(this.mayHaveRun);
		}
		this.exchange.endExchange();
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
			answered();
			this.services.writer().replay(this.exchange, this.request.id(), replayed.answer());
		}
		else if (decision instanceof ClaimDecision.Refused refusal) {
			fail(refusal.kind(), refusal.detail());
		}
	}

	private void send(AttemptRun run) {
		this.lifecycle.moveTo((this.stream != null) ? RequestState.ANSWERING : RequestState.CLAIMED);
		UpstreamAttempt attempt = new UpstreamAttempt(this.upstreamRequest, run.grant().upstream(), this.request.id(),
				run.grant().attempt(), resumable() ? this.progress.tokens() : 0, this.services.connections(), this.thread,
				run);
		scheduleHedge();
		run.start(attempt);
	}

	private void scheduleHedge() {
		Ticket held = this.ticket;
		if (held == null || this.stream != null || !this.request.facts().idempotent()) {
			return;
		}
		held.hedgeDelay().ifPresent((delay) -> after(delay, this::hedge));
	}

	private void hedge() {
		Ticket held = this.ticket;
		if (hasEnded() || held == null || this.winner != null || this.outstanding.size() != 1
				|| !this.outstanding.get(0).isOpen()) {
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
			endOthers(run, AttemptResult.HEDGE_LOST);
		}
		return this.winner == run;
	}

	private boolean mayRepeat() {
		if (this.stream != null) {
			return resumable();
		}
		return this.request.facts().idempotent() || !this.mayHaveRun;
	}

	private boolean resumable() {
		return Boolean.TRUE.equals(this.request.facts().entry().resumable());
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
		if (this.stream == null) {
			this.lifecycle.moveTo(RequestState.QUEUED);
		}
		return true;
	}

	private void answerTimedOut() {
		if (hasEnded()) {
			return;
		}
		this.mayHaveRun |= this.outstanding.stream().anyMatch(AttemptRun::isSending);
		fail(this.mayHaveRun ? ErrorKind.UPSTREAM_TIMEOUT : ErrorKind.DEADLINE_EXCEEDED,
				"no whole answer within the entry's answerSeconds");
	}

	private void fail(ErrorKind kind, String detail) {
		if (hasEnded()) {
			return;
		}
		conclude(AttemptResult.CANCELLED);
		Outcome outcome = this.claim.giveUp(this.mayHaveRun) ? ErrorTable.answerFor(kind).outcome() : Outcome.UNKNOWN;
		this.services.metrics().failed(kind, outcome);
		if (this.callerLeft) {
			return;
		}
		if (this.stream != null) {
			this.stream.fail(AnswerWriter.errorEvent(AnswerWriter.errorBody(this.request.id(), kind, outcome, detail)));
		}
		else {
			this.services.writer().error(this.exchange, this.request.id(), kind, outcome, detail);
		}
	}

	private void answered() {
		conclude(AttemptResult.CANCELLED);
		this.services.metrics().answered(this.request.facts().tier(), this.request.facts().entry().name());
	}

	private void conclude(AttemptResult result) {
		this.mayHaveRun |= this.outstanding.stream().anyMatch(AttemptRun::isSending);
		this.lifecycle.end();
		this.timers.forEach(XnioExecutor.Key::remove);
		if (this.watch != null) {
			this.watch.stop();
		}
		endOthers(null, result);
		boolean waits = this.outstanding.stream().anyMatch((run) -> !run.isOpen());
		if (waits && this.ticket != null && this.ticket.withdraw()) {
			this.outstanding.removeIf((run) -> !run.isOpen());
		}
		finishTicket();
	}

	private void endOthers(@Nullable AttemptRun kept, AttemptResult result) {
		for (AttemptRun run : List.copyOf(this.outstanding)) {
			if (run != kept && run.isOpen()) {
				run.end(result);
			}
		}
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

	private void after(Duration delay, Runnable task) {
		this.timers.add(this.thread.executeAfter(task, delay.toMillis(), TimeUnit.MILLISECONDS));
	}

	private void stopStallTimer() {
		if (this.stallTimer != null) {
			this.stallTimer.remove();
			this.stallTimer = null;
		}
	}

}
