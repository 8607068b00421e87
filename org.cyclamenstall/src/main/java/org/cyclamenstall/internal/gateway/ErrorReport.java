package org.cyclamenstall.internal.gateway;

import java.time.Duration;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.ErrorTable;
import org.cyclamenstall.errors.Outcome;
import org.cyclamenstall.policy.Refusal;
import org.jspecify.annotations.Nullable;

/**
 * Error that is reported to the caller of a failed request. Immutable.
 *
 * @param kind the error kind
 * @param outcome whether the request was executed, as far as known
 * @param message the detail message
 * @param retryAfter how long the caller should wait before it retries, or {@code null}
 * for no advice
 */
public record ErrorReport(ErrorKind kind, Outcome outcome, String message, @Nullable Duration retryAfter) {

	/**
	 * Creates a report with the default outcome and retry delay of its kind.
	 * @param kind the error kind
	 * @param message the detail message
	 * @return the report
	 */
	public static ErrorReport of(ErrorKind kind, String message) {
		return new ErrorReport(kind, ErrorTable.responseFor(kind).outcome(), message,
				ErrorTable.responseFor(kind).retryAfter());
	}

	/**
	 * Creates the report of a request of which no attempt was executed. The outcome is
	 * the default of the error kind: it is not always {@code not-run}, because an earlier
	 * request with the same idempotency key may have been executed.
	 * @param refusal the cause, and the retry delay if it differs from the default
	 * @return the report
	 */
	static ErrorReport of(Refusal refusal) {
		ErrorReport defaults = of(refusal.kind(), refusal.detail());
		return (refusal.retryAfter() != null)
				? new ErrorReport(defaults.kind(), defaults.outcome(), defaults.message(), refusal.retryAfter())
				: defaults;
	}

	/**
	 * Creates the report of a request that may have been executed. If the HTTP status of
	 * the refusal implies that it was not executed, the error kind of the failed attempt
	 * is reported instead.
	 * @param refusal the cause of the final failure
	 * @param attemptFailure the error kind of an attempt that may have been executed, or
	 * {@code null} if there is none
	 * @return the report
	 */
	static ErrorReport ofUnknownOutcome(Refusal refusal, @Nullable ErrorKind attemptFailure) {
		boolean impliesNotRun = FailureStatuses.impliesNotRun(ErrorTable.responseFor(refusal.kind()).status());
		ErrorKind reportedKind = (impliesNotRun && attemptFailure != null) ? attemptFailure : refusal.kind();
		return new ErrorReport(reportedKind, Outcome.UNKNOWN, refusal.detail(), null);
	}

}
