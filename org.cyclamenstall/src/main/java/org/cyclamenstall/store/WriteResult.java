package org.cyclamenstall.store;

/**
 * Lists the results of a write to the store.
 */
public enum WriteResult {

	/** The write was applied. */
	APPLIED,

	/** The condition of the write did not hold, so nothing was written. */
	CONFLICT,

	/**
	 * No valid response was received, so the write may or may not have been applied. Read
	 * the record to find out; do not assume either result.
	 */
	UNKNOWN,

	/**
	 * The write was not applied, because it was not sent (connection refused, call budget
	 * exhausted, backoff after failures) or the store rejected it (for example, rate
	 * limit exceeded).
	 */
	NOT_SENT

}
