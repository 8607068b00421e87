package org.cyclamenstall.policy;

import java.time.Duration;
import java.util.Optional;

/**
 * Stands for one submitted request over all its attempts. Thread-safe.
 */
public interface Ticket {

	/**
	 * Withdraws the request while it waits for a grant.
	 * @return whether it still waited; if so the listener is not called any more
	 */
	boolean withdraw();

	/**
	 * Asks for another attempt after one that ended. If the decision is
	 * {@link RetryDecision#GRANTED} the listener is called exactly once later; otherwise
	 * never. The caller has made sure that the request may be repeated.
	 * @param reason why the earlier attempt ended
	 * @param listener is told of the decision on the new attempt
	 * @return whether a new attempt is allowed
	 */
	RetryDecision retry(RetryReason reason, GrantListener listener);

	/**
	 * Returns how long to wait for a first token before a second attempt beside the
	 * first.
	 * @return the delay, or empty if this request is not hedged
	 */
	Optional<Duration> hedgeDelay();

	/**
	 * Asks for a second attempt beside the running one, on another upstream. Decided at
	 * once: the listener is called during this method with a grant, or not at all.
	 * @param listener is told of the grant
	 * @return whether a grant was given
	 */
	RetryDecision hedge(GrantListener listener);

	/**
	 * Settles the limits of the request. Called exactly once, after the last grant ended.
	 * @param generatedTokens the tokens that the caller received
	 */
	void finish(long generatedTokens);

}
