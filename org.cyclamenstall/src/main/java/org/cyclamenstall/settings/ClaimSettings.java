package org.cyclamenstall.settings;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;

/**
 * Settings of the claims of requests with an idempotency key. Immutable.
 *
 * @param maximumAgeMillis the maximum time between a claim and the sending of its
 * request, in milliseconds
 * @param retentionSeconds the retention period of a claim record, in seconds
 * @param maximumAnswerBytes the maximum size of a response that is retained to be
 * replayed to a repeated request, in bytes
 */
public record ClaimSettings(@NotNull @Min(100) @Max(600_000) Integer maximumAgeMillis,
		@NotNull @Min(60) @Max(2_592_000) Integer retentionSeconds,
		@NotNull @Min(0) @Max(500_000) Integer maximumAnswerBytes) {

	/** The default settings. */
	public static final ClaimSettings DEFAULTS = new ClaimSettings(null, null, null);

	private static final int DEFAULT_AGE_MILLIS = 5_000;

	private static final int DEFAULT_RETENTION_SECONDS = 86_400;

	private static final int DEFAULT_ANSWER_BYTES = 65_536;

	/**
	 * Replaces components that are {@code null} by their defaults.
	 */
	public ClaimSettings {
		maximumAgeMillis = (maximumAgeMillis != null) ? maximumAgeMillis : Integer.valueOf(DEFAULT_AGE_MILLIS);
		retentionSeconds = (retentionSeconds != null) ? retentionSeconds : Integer.valueOf(DEFAULT_RETENTION_SECONDS);
		maximumAnswerBytes = (maximumAnswerBytes != null) ? maximumAnswerBytes : Integer.valueOf(DEFAULT_ANSWER_BYTES);
	}

}
