package org.cyclamenstall.internal.claims;

/**
 * The result of writing the outcome of a claim to the store.
 */
enum SettleResult {

	/**
	 * The outcome is stored, or an abandoned claim was replaced; the claim can be removed
	 * from memory.
	 */
	SETTLED,

	/** The outcome was not written; the write must be retried. */
	RETRY,

	/** The record of the claim was replaced by that of another attempt. */
	REPLACED

}
