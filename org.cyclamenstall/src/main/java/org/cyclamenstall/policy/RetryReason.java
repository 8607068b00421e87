package org.cyclamenstall.policy;

import java.util.Locale;

/**
 * Tells why another attempt is asked for; labels the counter of retries.
 */
public enum RetryReason {

	/** The connection was refused. */
	UNREACHABLE,

	/** The upstream declared that it did not execute the request. */
	REFUSED,

	/** The upstream answered that it failed. */
	FAILED,

	/** No byte arrived in time. */
	TIMED_OUT,

	/** The connection ended before any part of the answer was relayed. */
	CONNECTION_LOST,

	/** The answer was malformed, too large or of another attempt. */
	ANSWER_INVALID,

	/** A stream was cut and is resumed. */
	STREAM_CUT,

	/** The slot was taken back and the stream is resumed. */
	PREEMPTED,

	/** The first token took long. */
	HEDGE;

	/**
	 * Returns the spelling used in metrics.
	 * @return the label
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
