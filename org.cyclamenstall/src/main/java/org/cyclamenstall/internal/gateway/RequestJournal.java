package org.cyclamenstall.internal.gateway;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.cyclamenstall.events.Event;
import org.cyclamenstall.internal.upstream.AttemptFailure;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.RequestFacts;
import org.cyclamenstall.policy.RetryReason;

/**
 * Tells the events of one request and counts them. Used on the I/O thread of the
 * exchange.
 */
final class RequestJournal {

	private final RequestFacts facts;

	private final GatewayServices services;

	private int attempts;

	RequestJournal(RequestFacts facts, GatewayServices services) {
		this.facts = facts;
		this.services = services;
	}

	/**
	 * Keeps what is told of an attempt after its grant ended.
	 * @param grant the grant of the attempt
	 * @return the attempt
	 */
	Attempt attempt(Grant grant) {
		this.attempts = Math.max(this.attempts, grant.attempt());
		return new Attempt(grant.attempt(), grant.upstream().host());
	}

	void attemptFailed(Attempt attempt, AttemptFailure failure, String detail, String next) {
		this.services.events()
			.record(new Event.AttemptFailed(this.facts.requestId(), attempt.number(), attempt.upstream(),
					failure.errorKind().code(), detail, failure.provesNotRun(), sinceArrivalMillis(), next));
	}

	void failureAnswered(Attempt attempt, int status, String next) {
		attemptFailed(attempt, AttemptFailure.FAILED, "the upstream answered " + status, next);
	}

	void failed(ErrorReport report, boolean begun) {
		this.services.metrics().failed(report.kind(), report.outcome());
		if (begun) {
			this.services.metrics().cut(report.kind());
		}
		Duration retryAfter = report.retryAfter();
		this.services.events()
			.record(new Event.RequestFailed(this.facts.requestId(), report.kind().code(), report.outcome().label(),
					report.message(), (retryAfter != null) ? retryAfter.toMillis() : null, this.attempts,
					sinceArrivalMillis()));
	}

	void resumed(RetryReason reason) {
		this.services.metrics().resumed(reason);
	}

	void answered(String upstream, int status, RelayProgress progress) {
		this.services.metrics()
			.answered(this.facts.tier(), this.facts.entry().name(),
					this.services.clock().nanoTime() - this.facts.arrivalNanos());
		this.services.events()
			.record(new Event.RequestAnswered(this.facts.requestId(), this.facts.entry().name(), upstream, status,
					this.attempts, progress.firstMillis(), progress.longestPauseMillis(), sinceArrivalMillis()));
	}

	void callerLeft(boolean goesOn) {
		this.services.metrics().callerLeft();
		this.services.events().record(new Event.CallerLeft(this.facts.requestId(), sinceArrivalMillis(), goesOn));
	}

	private long sinceArrivalMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.services.clock().nanoTime() - this.facts.arrivalNanos());
	}

	/**
	 * Names an attempt.
	 *
	 * @param number the number of the attempt
	 * @param upstream the name of the upstream host
	 */
	record Attempt(int number, String upstream) {

	}

}
