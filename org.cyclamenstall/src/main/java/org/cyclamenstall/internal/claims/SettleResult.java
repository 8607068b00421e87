package org.cyclamenstall.internal.claims;

/**
 * Tells what became of writing the end of a claim.
 */
enum SettleResult {

	/** The store tells the end; the claim need not be remembered. */
	SETTLED,

	/** The store did not take the end; it must be written again. */
	RETRY,

	/** The record of the claim is gone and another attempt stands in its place. */
	REPLACED

}
