package org.cyclamenstall.internal.upstream;

/**
 * Classification of an upstream's response by its status and headers. The names appear in
 * error messages.
 */
public enum ResponseKind {

	/** The response is buffered and validated as a whole. */
	WHOLE,

	/** The response is a stream of events. */
	STREAM,

	/** The upstream declares that it did not execute the request. */
	NOT_EXECUTED,

	/** The response does not belong to this attempt. */
	MISMATCHED,

	/** The response violates the protocol. */
	MALFORMED

}
