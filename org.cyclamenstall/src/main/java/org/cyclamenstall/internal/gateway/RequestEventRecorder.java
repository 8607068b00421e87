package org.cyclamenstall.internal.gateway;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.cyclamenstall.events.Event;
import org.cyclamenstall.internal.upstream.AttemptFailure;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.RequestAttributes;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;

/**
 * Records the events and metrics of one request. Used on the I/O thread of the exchange.
 */
final class RequestEventRecorder {

	private final RequestAttributes attributes;

	private final GatewayServices services;

	private int attempts;

	RequestEventRecorder(RequestAttributes attributes, GatewayServices services) {
		this.attributes = attributes;
		this.services = services;
	}

	/**
	 * Includes an attempt in the number of attempts and returns its identity. Must be
	 * called before the grant is released; the identity can be reported afterwards.
	 * @param grant the grant of the attempt
	 * @return the identity of the attempt
	 */
	Attempt recordAttempt(Grant grant) {
		this.attempts = Math.max(this.attempts, grant.attempt());
		return new Attempt(grant.attempt(), grant.upstream().host());
	}

	/**
	 * Records the event of a failed attempt.
	 * @param attempt the identity of the attempt
	 * @param failure the kind of failure
	 * @param detail the detail message
	 * @param decision whether the request is retried, or why it is not
	 */
	void recordAttemptFailure(Attempt attempt, AttemptFailure failure, String detail, RetryDecision decision) {
		recordAttemptFailure(attempt, failure, detail,
				(decision == RetryDecision.GRANTED) ? "tried again" : "given up: " + decision.label());
	}

	/**
	 * Records the event of a failed attempt.
	 * @param attempt the identity of the attempt
	 * @param failure the kind of failure
	 * @param detail the detail message
	 * @param next what happens to the request after the failure
	 */
	void recordAttemptFailure(Attempt attempt, AttemptFailure failure, String detail, String next) {
		this.services.events()
			.record(new Event.AttemptFailed(this.attributes.requestId(), attempt.number(), attempt.upstream(),
					failure.errorKind().code(), detail, failure.provesNotRun(), sinceArrivalMillis(), next));
	}

	/**
	 * Records the event of an attempt whose upstream is silent in the middle of a stream.
	 * @param grant the grant of the attempt
	 * @param detail the detail message
	 * @param decision whether the attempt is to be replaced, or why it is not
	 */
	void recordSilentAttempt(Grant grant, String detail, RetryDecision decision) {
		recordAttemptFailure(recordAttempt(grant), AttemptFailure.TIMED_OUT, detail, (decision == RetryDecision.GRANTED)
				? "tried again, goes on meanwhile" : "goes on: " + decision.label());
	}

	void recordErrorResponse(Attempt attempt, int status, String next) {
		recordAttemptFailure(attempt, AttemptFailure.FAILED, "the upstream responded with status " + status, next);
	}

	void recordRequestFailure(ErrorReport report, boolean responseStarted) {
		this.services.metrics().recordError(report.kind(), report.outcome());
		if (responseStarted) {
			this.services.metrics().recordInterruption(report.kind());
		}
		Duration retryAfter = report.retryAfter();
		this.services.events()
			.record(new Event.RequestFailed(this.attributes.requestId(), report.kind().code(), report.outcome().label(),
					report.message(), (retryAfter != null) ? retryAfter.toMillis() : null, responseStarted,
					this.attempts, sinceArrivalMillis()));
	}

	void recordResume(RetryReason reason) {
		this.services.metrics().recordResume(reason);
	}

	void recordResponse(String upstream, int status, RelayProgress progress) {
		this.services.metrics()
			.recordResponse(this.attributes.tier(), this.attributes.entry().name(),
					this.services.clock().nanoTime() - this.attributes.arrivalNanos());
		this.services.events()
			.record(new Event.RequestAnswered(this.attributes.requestId(), this.attributes.entry().name(), upstream,
					status, this.attempts, progress.timeToFirstEventMillis(), progress.longestGapMillis(),
					sinceArrivalMillis()));
	}

	void recordCallerDisconnect(boolean continues) {
		this.services.metrics().recordCallerDisconnect();
		this.services.events()
			.record(new Event.CallerLeft(this.attributes.requestId(), sinceArrivalMillis(), continues));
	}

	private long sinceArrivalMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.services.clock().nanoTime() - this.attributes.arrivalNanos());
	}

	/**
	 * Identity of an attempt.
	 *
	 * @param number the number of the attempt, from 1
	 * @param upstream the name of the upstream host
	 */
	record Attempt(int number, String upstream) {

	}

}
