package org.cyclamenstall.internal.gateway;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.cyclamenstall.internal.watch.StoreStaleness;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether API keys may be accepted. A key may have been revoked while this daemon
 * could not read the configuration. With a maximum staleness, keys are accepted only for
 * that long after the configuration was last confirmed. Thread-safe.
 */
public final class ApiKeyAuthorization {

	private final StoreStaleness staleness;

	private volatile @Nullable Duration maximumStaleness;

	/**
	 * Creates an authorization, whose limit can be changed later.
	 * @param staleness provides the time since the configuration was last confirmed
	 * @param maximumStaleness the maximum staleness, or {@code null} for no limit
	 */
	public ApiKeyAuthorization(StoreStaleness staleness, @Nullable Duration maximumStaleness) {
		this.staleness = staleness;
		this.maximumStaleness = maximumStaleness;
	}

	/**
	 * Changes how long keys are accepted without confirmation.
	 * @param maximumStaleness the maximum staleness, or {@code null} for no limit
	 */
	public void setMaximumStaleness(@Nullable Duration maximumStaleness) {
		this.maximumStaleness = maximumStaleness;
	}

	/**
	 * Returns whether keys may be accepted now.
	 * @return {@code true} if there is no limit or the configuration was confirmed within
	 * the maximum staleness
	 */
	public boolean mayAcceptKeys() {
		Duration limit = this.maximumStaleness;
		return limit == null || this.staleness.isWithin(limit);
	}

	/**
	 * Returns the time since the configuration was last confirmed.
	 * @return the time in milliseconds
	 */
	long millisSinceConfirmation() {
		return TimeUnit.NANOSECONDS.toMillis(this.staleness.ageNanos());
	}

}
