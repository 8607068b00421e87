package org.cyclamenstall.internal.gateway;

import org.jspecify.annotations.Nullable;

/**
 * Holds an attempt whose upstream is silent in the middle of a stream, and the one that
 * is to take its place. Both run until one of them is ended. Used on the I/O thread of
 * the exchange.
 */
final class AttemptReplacement {

	private @Nullable AttemptExecution silentAttempt;

	private @Nullable AttemptExecution newAttempt;

	/**
	 * Starts a replacement.
	 * @param silent the attempt whose upstream is silent
	 * @param replacing the attempt that is to take its place
	 */
	void begin(AttemptExecution silent, AttemptExecution replacing) {
		this.silentAttempt = silent;
		this.newAttempt = replacing;
	}

	boolean isPending() {
		return this.newAttempt != null;
	}

	boolean isReplacing(AttemptExecution attempt) {
		return attempt == this.newAttempt;
	}

	boolean isSilent(AttemptExecution attempt) {
		return attempt == this.silentAttempt;
	}

	@Nullable AttemptExecution silentAttempt() {
		return this.silentAttempt;
	}

	@Nullable AttemptExecution newAttempt() {
		return this.newAttempt;
	}

	/**
	 * Ends the replacement if one of its attempts has ended.
	 * @param attempt an attempt that has ended
	 */
	void forget(AttemptExecution attempt) {
		if (isReplacing(attempt) || isSilent(attempt)) {
			this.silentAttempt = null;
			this.newAttempt = null;
		}
	}

}
