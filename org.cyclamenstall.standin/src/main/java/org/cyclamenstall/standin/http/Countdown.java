package org.cyclamenstall.standin.http;

import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;

/**
 * Holds how many of the next requests meet a fault. Thread-safe.
 */
public final class Countdown {

	private final AtomicInteger left = new AtomicInteger();

	/**
	 * Sets the number of requests.
	 * @param count the number; {@code null} for none
	 */
	public void set(@Nullable Integer count) {
		this.left.set((count != null) ? count : 0);
	}

	/**
	 * Takes one of the requests.
	 * @return whether this request meets the fault
	 */
	public boolean take() {
		return this.left.getAndUpdate((count) -> Math.max(0, count - 1)) > 0;
	}

}
