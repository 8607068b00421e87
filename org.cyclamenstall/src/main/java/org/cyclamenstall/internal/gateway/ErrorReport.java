package org.cyclamenstall.internal.gateway;

import java.time.Duration;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.ErrorTable;
import org.cyclamenstall.errors.Outcome;
import org.cyclamenstall.policy.Refusal;
import org.jspecify.annotations.Nullable;

/**
 * Holds what a caller is told of a failed request. Immutable.
 *
 * @param kind the error kind
 * @param outcome what is known of the execution
 * @param message the detail
 * @param retryAfter when to come back, or {@code null} for no advice
 */
public record ErrorReport(ErrorKind kind, Outcome outcome, String message, @Nullable Duration retryAfter) {

	/**
	 * Creates a report with the usual outcome and pause of its kind.
	 * @param kind the error kind
	 * @param message the detail
	 * @return the report
	 */
	public static ErrorReport of(ErrorKind kind, String message) {
		return new ErrorReport(kind, ErrorTable.answerFor(kind).outcome(), message,
				ErrorTable.answerFor(kind).retryAfter());
	}

	/**
	 * Creates the report of a request that certainly did not run, or of which nothing
	 * more is known than its kind tells.
	 * @param refusal why, and when to come back
	 * @return the report
	 */
	static ErrorReport of(Refusal refusal) {
		ErrorReport usual = of(refusal.kind(), refusal.detail());
		return (refusal.retryAfter() != null)
				? new ErrorReport(usual.kind(), usual.outcome(), usual.message(), refusal.retryAfter()) : usual;
	}

	/**
	 * Creates the report of a request that may have run. A kind whose status promises the
	 * contrary is not told.
	 * @param refusal why it failed in the end
	 * @param unproven how the attempt failed that may have run, or {@code null} if none
	 * did
	 * @return the report
	 */
	static ErrorReport uncertain(Refusal refusal, @Nullable ErrorKind unproven) {
		boolean promises = StatusPromise.isMadeBy(ErrorTable.answerFor(refusal.kind()).status());
		ErrorKind told = (promises && unproven != null) ? unproven : refusal.kind();
		return new ErrorReport(told, Outcome.UNKNOWN, refusal.detail(), null);
	}

}
