package org.cyclamenstall.standin.site;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Polls conditions until they hold. Stateless and thread-safe.
 */
public final class ConditionWaiter {

	/** The timeout of waits that do not specify one. */
	public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(60);

	private static final int POLL_INTERVAL_MILLIS = 10;

	private ConditionWaiter() {
	}

	/**
	 * Waits until a condition holds, for at most {@link #DEFAULT_TIMEOUT}.
	 * @param condition the condition
	 * @param description describes the failure, for the message of the exception
	 * @throws IllegalStateException if the condition does not hold in time
	 */
	public static void await(BooleanSupplier condition, Supplier<String> description) {
		if (!holdsWithin(DEFAULT_TIMEOUT, condition)) {
			throw new IllegalStateException("Timed out after " + DEFAULT_TIMEOUT + ": " + description.get());
		}
	}

	/**
	 * Waits until a condition holds or a timeout expires.
	 * @param timeout the maximum wait
	 * @param condition the condition
	 * @return {@code true} as soon as the condition holds; {@code false} after the
	 * timeout
	 */
	public static boolean holdsWithin(Duration timeout, BooleanSupplier condition) {
		long deadlineNanos = System.nanoTime() + timeout.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - deadlineNanos >= 0) {
				return false;
			}
			sleep();
		}
		return true;
	}

	private static void sleep() {
		try {
			Thread.sleep(POLL_INTERVAL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("Interrupted while waiting for a condition", ex);
		}
	}

}
