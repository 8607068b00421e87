package org.cyclamenstall.policy;

/**
 * Enumerates the outcomes of an attempt.
 */
public enum AttemptResult {

	/** The complete response arrived. */
	COMPLETED,

	/** No connection could be established. */
	UNREACHABLE,

	/** The upstream declared that it did not execute the request. */
	REFUSED,

	/** The upstream responded with an error. */
	FAILED,

	/** No data arrived before the timeout. */
	TIMED_OUT,

	/** The connection was closed before the response was complete. */
	CONNECTION_LOST,

	/** The response was malformed, too large or belonged to another attempt. */
	ANSWER_INVALID,

	/** The caller disconnected. */
	CANCELLED,

	/** The controller preempted the attempt. */
	PREEMPTED,

	/** Another attempt of the same request responded first. */
	HEDGE_LOST,

	/** The grant was released before the request was sent. */
	NOT_SENT

}
