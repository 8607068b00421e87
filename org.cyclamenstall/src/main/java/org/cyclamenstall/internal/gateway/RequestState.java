package org.cyclamenstall.internal.gateway;

/**
 * States of a request, in the order in which it passes through them. Another attempt
 * returns the request to an earlier state.
 */
enum RequestState {

	/** The request was read and validated. */
	RECEIVED,

	/** The request waits for a grant of an upstream. */
	QUEUED,

	/** The request has a grant and, if it requires one, its claim. */
	GRANTED,

	/** Bytes of the request may have reached an upstream. */
	SENDING,

	/** Part of the response was sent to the caller. */
	RESPONDING,

	/** The response was sent, or the request was abandoned. Final. */
	ENDED

}
