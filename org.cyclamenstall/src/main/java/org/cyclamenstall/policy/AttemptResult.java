package org.cyclamenstall.policy;

/**
 * Tells how an attempt ended.
 */
public enum AttemptResult {

	/** A whole answer arrived. */
	COMPLETED,

	/** The connection was refused. */
	UNREACHABLE,

	/** The upstream declared that it did not execute the request. */
	REFUSED,

	/** The upstream answered that it failed. */
	FAILED,

	/** No byte arrived in time. */
	TIMED_OUT,

	/** The connection ended before a whole answer. */
	CONNECTION_LOST,

	/** The answer was malformed, too large or of another attempt. */
	ANSWER_INVALID,

	/** The caller left. */
	CANCELLED,

	/** The controller took the slot back. */
	PREEMPTED,

	/** Another attempt of the same request answered first. */
	HEDGE_LOST,

	/** The request was not sent after all. */
	NOT_SENT

}
