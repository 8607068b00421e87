package org.cyclamenstall.standin.load;

/**
 * Tells how a request ended for its caller.
 */
enum RequestEnd {

	/** The whole answer came. */
	WHOLE,

	/** A typed error with the outcome not-run came. */
	REFUSED,

	/** A typed error with another outcome came, also within a stream. */
	FAILED,

	/** The answer broke off, or none came, without a typed error. */
	CUT,

	/** No end came until the run was over. */
	UNFINISHED

}
