package org.cyclamenstall.internal.gateway;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.cyclamenstall.internal.follower.Freshness;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether API keys may still be believed. A key may have been taken away while
 * this daemon did not hear of it; with a bound, keys are believed only that long after
 * the configuration was last confirmed. Thread-safe.
 */
public final class KeyRights {

	private final Freshness freshness;

	private volatile @Nullable Duration bound;

	/**
	 * Creates a rule.
	 * @param freshness knows when the configuration was last confirmed
	 * @param bound how long keys are believed, or {@code null} if for ever
	 */
	public KeyRights(Freshness freshness, @Nullable Duration bound) {
		this.freshness = freshness;
		this.bound = bound;
	}

	/**
	 * Changes the bound.
	 * @param newer how long keys are believed, or {@code null} if for ever
	 */
	public void bound(@Nullable Duration newer) {
		this.bound = newer;
	}

	/**
	 * Returns whether keys are believed now.
	 * @return {@code true} if the configuration was confirmed within the bound
	 */
	public boolean areConfirmed() {
		Duration present = this.bound;
		return present == null || this.freshness.isWithin(present);
	}

	/**
	 * Returns how long ago the configuration was last confirmed.
	 * @return the age in milliseconds
	 */
	long confirmedMillisAgo() {
		return TimeUnit.NANOSECONDS.toMillis(this.freshness.ageNanos());
	}

}
