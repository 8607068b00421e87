package org.cyclamenstall.settings;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;

/**
 * Settings of a graceful shutdown. Immutable.
 *
 * @param settleMillis the time for which new requests are accepted after the daemon
 * reports that it is not ready, in milliseconds
 * @param maximumSeconds the maximum time for open requests to end, in seconds
 */
public record ShutdownSettings(@NotNull @Min(0) @Max(600_000) Integer settleMillis,
		@NotNull @Min(1) @Max(86_400) Integer maximumSeconds) {

	/** The default settings. */
	public static final ShutdownSettings DEFAULTS = new ShutdownSettings(null, null);

	private static final int DEFAULT_SETTLE_MILLIS = 5_000;

	private static final int DEFAULT_MAXIMUM_SECONDS = 3_600;

	/**
	 * Replaces components that are {@code null} by their defaults.
	 */
	public ShutdownSettings {
		settleMillis = (settleMillis != null) ? settleMillis : Integer.valueOf(DEFAULT_SETTLE_MILLIS);
		maximumSeconds = (maximumSeconds != null) ? maximumSeconds : Integer.valueOf(DEFAULT_MAXIMUM_SECONDS);
	}

}
