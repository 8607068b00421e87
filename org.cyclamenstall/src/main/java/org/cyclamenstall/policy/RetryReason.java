package org.cyclamenstall.policy;

import java.util.Locale;

/**
 * Enumerates the reasons for requesting another attempt.
 */
public enum RetryReason {

	/** No connection could be established. */
	UNREACHABLE,

	/** The upstream announced that it wants no requests before the request was sent. */
	WITHDRAWN,

	/** The upstream declared that it did not execute the request. */
	REFUSED,

	/** The upstream responded with an error. */
	FAILED,

	/** No data arrived before the timeout. */
	TIMED_OUT,

	/** The connection was closed before any part of the response was relayed. */
	CONNECTION_LOST,

	/** The response was malformed, too large or belonged to another attempt. */
	ANSWER_INVALID,

	/** A stream was interrupted and is to be resumed. */
	STREAM_CUT,

	/** A stream was preempted and is to be resumed. */
	PREEMPTED,

	/** The first token did not arrive within the hedge delay. */
	HEDGE;

	/**
	 * Returns the metric label of this reason.
	 * @return the name in lower case with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
