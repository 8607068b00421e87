package org.cyclamenstall.internal.upstream;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.RetryReason;

/**
 * Lists the ways in which an attempt fails, with what each one proves.
 */
public enum AttemptFailure {

	/** No connection came about, so no byte of the request left. */
	UNREACHABLE(ErrorKind.UPSTREAM_UNREACHABLE, AttemptResult.UNREACHABLE, RetryReason.UNREACHABLE, true),

	/** The upstream declared that it did not execute the request. */
	REFUSED(ErrorKind.UPSTREAM_REFUSED, AttemptResult.REFUSED, RetryReason.REFUSED, true),

	/** The upstream answered that it failed. */
	FAILED(ErrorKind.UPSTREAM_FAILED, AttemptResult.FAILED, RetryReason.FAILED, false),

	/** No byte arrived in time. */
	TIMED_OUT(ErrorKind.UPSTREAM_TIMEOUT, AttemptResult.TIMED_OUT, RetryReason.TIMED_OUT, false),

	/** The connection ended before a whole answer. */
	CONNECTION_LOST(ErrorKind.UPSTREAM_CONNECTION_LOST, AttemptResult.CONNECTION_LOST, RetryReason.CONNECTION_LOST,
			false),

	/** The answer is not well-formed. */
	MALFORMED(ErrorKind.UPSTREAM_ANSWER_MALFORMED, AttemptResult.ANSWER_INVALID, RetryReason.ANSWER_INVALID, false),

	/** The answer belongs to another attempt. */
	MISMATCHED(ErrorKind.UPSTREAM_ANSWER_MISMATCHED, AttemptResult.ANSWER_INVALID, RetryReason.ANSWER_INVALID, false),

	/** The answer exceeds the bound. */
	TOO_LARGE(ErrorKind.UPSTREAM_ANSWER_TOO_LARGE, AttemptResult.ANSWER_INVALID, RetryReason.ANSWER_INVALID, false);

	private final ErrorKind errorKind;

	private final AttemptResult attemptResult;

	private final RetryReason retryReason;

	private final boolean provesNotRun;

	AttemptFailure(ErrorKind errorKind, AttemptResult attemptResult, RetryReason retryReason, boolean provesNotRun) {
		this.errorKind = errorKind;
		this.attemptResult = attemptResult;
		this.retryReason = retryReason;
		this.provesNotRun = provesNotRun;
	}

	/**
	 * Returns the error told to the caller if no further attempt is made.
	 * @return the error kind
	 */
	public ErrorKind errorKind() {
		return this.errorKind;
	}

	/**
	 * Returns the result told to the traffic controller.
	 * @return the result
	 */
	public AttemptResult attemptResult() {
		return this.attemptResult;
	}

	/**
	 * Returns the reason given when another attempt is asked for.
	 * @return the reason
	 */
	public RetryReason retryReason() {
		return this.retryReason;
	}

	/**
	 * Returns whether this failure proves that the upstream did not execute the request.
	 * @return {@code true} if it did not run
	 */
	public boolean provesNotRun() {
		return this.provesNotRun;
	}

}
