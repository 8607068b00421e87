package org.cyclamenstall.store;

/**
 * Tells what became of a write.
 */
public enum WriteResult {

	/** The write took effect. */
	APPLIED,

	/** The condition of the write did not hold; nothing was written. */
	CONFLICT,

	/**
	 * No answer was received: the write may have taken effect. Must not be treated as
	 * either of the others; read the record back.
	 */
	UNKNOWN,

	/**
	 * The store was not asked, or it refused without effect: connection refused, call
	 * budget spent, rate limit answered.
	 */
	NOT_SENT

}
