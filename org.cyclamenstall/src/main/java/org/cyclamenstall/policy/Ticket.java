package org.cyclamenstall.policy;

import java.time.Duration;
import java.util.Optional;

/**
 * Represents a submitted request across all of its attempts. Thread-safe.
 */
public interface Ticket {

	/**
	 * Withdraws the request if it is waiting for a grant.
	 * @return {@code true} if the request was waiting; its listener is then not called
	 */
	boolean withdraw();

	/**
	 * Requests another attempt after the previous one ended. If the decision is
	 * {@link RetryDecision#GRANTED}, the listener is called at most once with a grant or
	 * a refusal, possibly before this method returns, and not at all if the request is
	 * withdrawn; otherwise it is never called. The caller must make sure that the request
	 * may be retried safely.
	 * @param reason the reason for the retry
	 * @param listener the listener for the new attempt
	 * @return the decision
	 */
	RetryDecision retry(RetryReason reason, GrantListener listener);

	/**
	 * Requests an attempt that is to replace a running one whose upstream sends no data.
	 * The decision is made immediately: the listener is called with a grant before this
	 * method returns, or not at all. The running attempt keeps its grant in either case.
	 * The caller must make sure that the request may be retried safely, and ends one of
	 * the two attempts.
	 * @param running the grant of the running attempt
	 * @param reason the reason for the retry
	 * @param listener the listener for the new attempt
	 * @return the decision
	 */
	RetryDecision replace(Grant running, RetryReason reason, GrantListener listener);

	/**
	 * Returns the time to wait for the first token before a hedged attempt is requested.
	 * @return the delay, or empty if this request is not hedged
	 */
	Optional<Duration> hedgeDelay();

	/**
	 * Requests a second, concurrent attempt on another upstream. The decision is made
	 * immediately: the listener is called with a grant before this method returns, or not
	 * at all.
	 * @param listener the listener for the hedged attempt
	 * @return the decision
	 */
	RetryDecision hedge(GrantListener listener);

	/**
	 * Finishes the request and charges its usage to the limits of its entry and account.
	 * Called exactly once, after the last grant was released.
	 * @param generatedTokens the number of tokens sent to the caller
	 */
	void finish(long generatedTokens);

}
