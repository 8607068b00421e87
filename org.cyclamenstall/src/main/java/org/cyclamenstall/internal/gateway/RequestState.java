package org.cyclamenstall.internal.gateway;

/**
 * Lists the states of a request, in order.
 */
enum RequestState {

	/** The request is read and known to be well-formed. */
	RECEIVED,

	/** The request waits for an upstream. */
	QUEUED,

	/** The request holds an upstream, and its claim if it is named. */
	CLAIMED,

	/** Bytes of the request may have reached an upstream. */
	SENDING,

	/** A part of the answer went to the caller. */
	ANSWERING,

	/** The request is answered or given up. */
	ENDED

}
