package org.cyclamenstall.standin.load;

/**
 * The outcome of a request as seen by its caller.
 */
enum RequestOutcome {

	/** The complete response was received. */
	WHOLE,

	/** The daemon responded with a typed error and the outcome not-run. */
	REFUSED,

	/**
	 * The daemon responded with a typed error and another outcome, or ended the stream
	 * with an error event.
	 */
	FAILED,

	/** The response was truncated or missing, without a typed error. */
	CUT,

	/** The request had not completed at the end of the run. */
	UNFINISHED

}
