package org.cyclamenstall.claims;

/**
 * Guards the sending of one named request. Its state moves by compare-and-set: claimed,
 * sending, and then completed, unknown or abandoned; an abandoned claim is never sent.
 * Thread-safe; no method blocks.
 */
public interface Claim {

	/**
	 * Enters the sending state directly before the first byte goes to an upstream.
	 * @return {@code false} if the claim is too old or abandoned; it must not be sent
	 * then
	 */
	boolean beginSending();

	/**
	 * Goes back from sending to claimed, after proof that no upstream executed the
	 * request.
	 */
	void provedNotRun();

	/**
	 * Gives the claim up for good; the caller is told {@code not-run}.
	 * @return {@code false} if the claim is in the sending state or later
	 */
	boolean abandon();

	/**
	 * Records that the request ran, with its answer, in memory at once and in the store
	 * soon.
	 * @param answer the answer
	 */
	void complete(StoredAnswer answer);

	/**
	 * Records that the request may have run.
	 */
	void outcomeUnknown();

}
