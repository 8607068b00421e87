package org.cyclamenstall.internal.upstream;

/**
 * Tells what the head of an answer says.
 */
public enum AnswerNature {

	/** A whole answer follows. */
	WHOLE,

	/** A stream of events follows. */
	STREAM,

	/** The upstream declares that it did not execute the request. */
	NOT_EXECUTED,

	/** The answer does not belong to this attempt. */
	MISMATCHED,

	/** The answer is not a valid one. */
	MALFORMED

}
