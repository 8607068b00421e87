package org.cyclamenstall.standin.http;

import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;

/**
 * Number of upcoming requests to which a fault is applied. Thread-safe.
 */
public final class FaultCountdown {

	private final AtomicInteger remaining = new AtomicInteger();

	/**
	 * Sets the number of upcoming requests to which the fault is applied.
	 * @param count the number of requests; {@code null} for none
	 */
	public void set(@Nullable Integer count) {
		this.remaining.set((count != null) ? count : 0);
	}

	/**
	 * Decrements the number of remaining requests unless it is zero.
	 * @return {@code true} if the fault applies to the current request
	 */
	public boolean tryConsume() {
		return this.remaining.getAndUpdate((count) -> Math.max(0, count - 1)) > 0;
	}

}
