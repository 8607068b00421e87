package org.cyclamenstall.claims;

/**
 * Exclusive right of this daemon to send one request with an idempotency key. State
 * transitions are atomic: a claimed request is either abandoned and then never sent, or
 * moves to sending and ends as completed or unknown. Thread-safe; no method blocks.
 */
public interface Claim {

	/**
	 * Enters the sending state immediately before the first byte is sent to an upstream.
	 * @return {@code false} if the claim has exceeded its maximum age, which abandons it,
	 * or is not in the claimed state; the request must not be sent then
	 */
	boolean beginSending();

	/**
	 * Returns from the sending to the claimed state once it is proven that no upstream
	 * executed the request. Has no effect in any other state.
	 */
	void recordNotExecuted();

	/**
	 * Abandons a claim that is not in the sending state or ended. The request is then
	 * never sent, so it can be reported as {@code not-run}.
	 * @return {@code true} if the claim is abandoned; {@code false} if the request may
	 * have been sent
	 */
	boolean abandon();

	/**
	 * Records that the request was executed, with its response: in memory immediately, in
	 * the store asynchronously. Has no effect unless the claim is in the sending state.
	 * @param response the response
	 */
	void complete(StoredResponse response);

	/**
	 * Records that the request may have been executed. Has no effect unless the claim is
	 * in the sending state.
	 */
	void recordOutcomeUnknown();

}
