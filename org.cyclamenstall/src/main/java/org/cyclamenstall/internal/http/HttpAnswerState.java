package org.cyclamenstall.internal.http;

/**
 * Tells how far an HTTP call came.
 */
public enum HttpAnswerState {

	/** A whole answer was received. */
	ANSWERED,

	/** No byte of the request left this process. */
	NOT_SENT,

	/** The request may have reached the server; no whole answer was received. */
	NO_ANSWER

}
