package org.cyclamenstall.claims;

/**
 * Exclusive right of this daemon to send one request with an idempotency key. State
 * transitions are atomic: a claimed request is either abandoned and then never sent, or
 * moves to sending and ends as completed or unknown. Thread-safe; no method blocks.
 */
public interface Claim {

	/**
	 * Enters the sending state immediately before the first byte is sent to an upstream.
	 * @return {@code false} if the claim has exceeded its maximum age or is not in the
	 * claimed state; the request must not be sent then
	 */
	boolean beginSending();

	/**
	 * Returns from the sending to the claimed state once it is proven that no upstream
	 * executed the request.
	 */
	void recordNotExecuted();

	/**
	 * Abandons the claim permanently; the caller receives the outcome {@code not-run}.
	 * @return {@code true} if the claim is abandoned; {@code false} if the request may
	 * have been sent
	 */
	boolean abandon();

	/**
	 * Records that the request was executed, with its response: in memory immediately, in
	 * the store asynchronously.
	 * @param response the response
	 */
	void complete(StoredResponse response);

	/**
	 * Records that the request may have been executed.
	 */
	void recordOutcomeUnknown();

}
