package org.cyclamenstall.internal.gateway;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.policy.AttemptResult;
import org.jspecify.annotations.Nullable;

/**
 * Holds the attempts of one request that wait for a grant or hold one. Used on the I/O
 * thread of the exchange.
 */
final class AttemptSet {

	private final List<AttemptRun> attempts = new ArrayList<>();

	void add(AttemptRun attempt) {
		this.attempts.add(attempt);
	}

	void remove(AttemptRun attempt) {
		this.attempts.remove(attempt);
	}

	boolean isEmpty() {
		return this.attempts.isEmpty();
	}

	/**
	 * Returns whether there is one attempt and it holds a grant.
	 * @return {@code true} if so
	 */
	boolean isOneOpen() {
		return this.attempts.size() == 1 && this.attempts.get(0).isOpen();
	}

	/**
	 * Returns whether a byte of any attempt may have reached an upstream.
	 * @return {@code true} if so
	 */
	boolean isAnySending() {
		return this.attempts.stream().anyMatch(AttemptRun::isSending);
	}

	/**
	 * Returns whether an attempt waits for a grant.
	 * @return {@code true} if so
	 */
	boolean isAnyWaiting() {
		return this.attempts.stream().anyMatch((attempt) -> !attempt.isOpen());
	}

	/**
	 * Forgets the attempts that wait for a grant.
	 */
	void removeWaiting() {
		this.attempts.removeIf((attempt) -> !attempt.isOpen());
	}

	/**
	 * Ends the attempts that hold a grant.
	 * @param kept an attempt that goes on, or {@code null} for none
	 * @param result how the others end
	 */
	void endAllBut(@Nullable AttemptRun kept, AttemptResult result) {
		for (AttemptRun attempt : List.copyOf(this.attempts)) {
			if (attempt != kept && attempt.isOpen()) {
				attempt.end(result);
			}
		}
	}

}
