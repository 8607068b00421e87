package org.cyclamenstall.settings;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;

/**
 * Holds the bounds on a graceful shutdown. Immutable.
 *
 * @param settleMillis how long the callers' port goes on serving new requests after
 * readiness turned false, in milliseconds
 * @param maximumSeconds the longest time for requests to end, in seconds
 */
public record ShutdownSettings(@NotNull @Min(0) @Max(600_000) Integer settleMillis,
		@NotNull @Min(1) @Max(86_400) Integer maximumSeconds) {

	/** Holds the default of every component. */
	public static final ShutdownSettings DEFAULTS = new ShutdownSettings(null, null);

	private static final int DEFAULT_SETTLE_MILLIS = 5_000;

	private static final int DEFAULT_MAXIMUM_SECONDS = 3_600;

	/**
	 * Fills in the defaults.
	 */
	public ShutdownSettings {
		settleMillis = (settleMillis != null) ? settleMillis : Integer.valueOf(DEFAULT_SETTLE_MILLIS);
		maximumSeconds = (maximumSeconds != null) ? maximumSeconds : Integer.valueOf(DEFAULT_MAXIMUM_SECONDS);
	}

}
