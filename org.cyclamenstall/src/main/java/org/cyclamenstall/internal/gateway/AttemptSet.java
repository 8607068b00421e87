package org.cyclamenstall.internal.gateway;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.policy.AttemptResult;
import org.jspecify.annotations.Nullable;

/**
 * Attempts of one request that wait for a grant or have one. Used on the I/O thread of
 * the exchange.
 */
final class AttemptSet {

	private final List<AttemptExecution> attempts = new ArrayList<>();

	void add(AttemptExecution attempt) {
		this.attempts.add(attempt);
	}

	void remove(AttemptExecution attempt) {
		this.attempts.remove(attempt);
	}

	boolean contains(AttemptExecution attempt) {
		return this.attempts.contains(attempt);
	}

	boolean isEmpty() {
		return this.attempts.isEmpty();
	}

	/**
	 * Returns whether there is exactly one attempt and it has a grant.
	 * @return {@code true} if a second attempt may run in parallel
	 */
	boolean hasSingleAttemptWithGrant() {
		return this.attempts.size() == 1 && this.attempts.get(0).hasGrant();
	}

	/**
	 * Returns whether a byte of any attempt may have reached an upstream.
	 * @return {@code true} if at least one attempt may have been executed
	 */
	boolean hasAnyStartedSending() {
		return this.attempts.stream().anyMatch(AttemptExecution::hasStartedSending);
	}

	/**
	 * Returns whether an attempt waits for a grant.
	 * @return {@code true} if at least one attempt has no grant yet
	 */
	boolean isAnyWaiting() {
		return this.attempts.stream().anyMatch((attempt) -> !attempt.hasGrant());
	}

	/**
	 * Removes the attempts that wait for a grant.
	 */
	void removeWaiting() {
		this.attempts.removeIf((attempt) -> !attempt.hasGrant());
	}

	/**
	 * Ends all attempts that have a grant, except one.
	 * @param excluded the attempt that continues, or {@code null} for none
	 * @param result the result of the ended attempts
	 */
	void endAllExcept(@Nullable AttemptExecution excluded, AttemptResult result) {
		for (AttemptExecution attempt : List.copyOf(this.attempts)) {
			if (attempt != excluded && attempt.hasGrant()) {
				attempt.end(result);
			}
		}
	}

}
