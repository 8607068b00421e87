package org.cyclamenstall.standin.site;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Waits until a condition holds. Stateless and thread-safe.
 */
public final class ConditionWaiter {

	/** Bounds every wait that names no limit of its own. */
	public static final Duration DEFAULT_LIMIT = Duration.ofSeconds(60);

	private static final int POLL_MILLIS = 10;

	private ConditionWaiter() {
	}

	/**
	 * Waits until a condition holds.
	 * @param condition the condition
	 * @param description tells what was waited for, if it does not hold in time
	 */
	public static void await(BooleanSupplier condition, Supplier<String> description) {
		if (!holdsWithin(DEFAULT_LIMIT, condition)) {
			throw new IllegalStateException("Not within " + DEFAULT_LIMIT + ": " + description.get());
		}
	}

	/**
	 * Tells whether a condition holds within a limit.
	 * @param limit the longest wait
	 * @param condition the condition
	 * @return {@code true} as soon as the condition holds
	 */
	public static boolean holdsWithin(Duration limit, BooleanSupplier condition) {
		long end = System.nanoTime() + limit.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - end >= 0) {
				return false;
			}
			pause();
		}
		return true;
	}

	private static void pause() {
		try {
			Thread.sleep(POLL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("Interrupted while waiting", ex);
		}
	}

}
