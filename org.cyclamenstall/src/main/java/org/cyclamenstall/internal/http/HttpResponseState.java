package org.cyclamenstall.internal.http;

/**
 * Outcome of an HTTP call.
 */
public enum HttpResponseState {

	/** A complete response was received. */
	ANSWERED,

	/** No byte of the request was sent. */
	NOT_SENT,

	/** The request may have reached the server, but no complete response was received. */
	NO_ANSWER

}
