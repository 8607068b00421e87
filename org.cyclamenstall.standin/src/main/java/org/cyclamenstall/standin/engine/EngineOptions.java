package org.cyclamenstall.standin.engine;

import jakarta.validation.constraints.DecimalMax;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import org.jspecify.annotations.Nullable;

/**
 * The capacity and speed of an engine stand-in. Immutable.
 *
 * @param slots the maximum number of concurrently running requests
 * @param queueLength the maximum number of queued requests; further ones are refused with
 * 429
 * @param baseGapMillis the duration of a decoding step with an empty batch, in
 * milliseconds
 * @param gapPerRequestMillis the additional duration of a step for each running request,
 * in milliseconds
 * @param prefillTokensPerSecond the prefill speed, in prompt tokens per second
 * @param cachedBlocks the capacity of the prefix cache, in blocks
 * @param reportLagMillis the age of the load in load reports, in milliseconds
 * @param medianTokens the median length of a response, in tokens
 * @param tokensSigma the standard deviation of the natural logarithm of the length
 * @param maximumTokens the maximum length of a response, in tokens
 */
public record EngineOptions(@NotNull @Min(1) @Max(4_096) Integer slots,
		@NotNull @Min(0) @Max(100_000) Integer queueLength,
		@NotNull @DecimalMin("0.1") @DecimalMax("10000") Double baseGapMillis,
		@NotNull @DecimalMin("0") @DecimalMax("1000") Double gapPerRequestMillis,
		@NotNull @DecimalMin("1") @DecimalMax("10000000") Double prefillTokensPerSecond,
		@NotNull @Min(0) @Max(1_000_000) Integer cachedBlocks, @NotNull @Min(0) @Max(60_000) Integer reportLagMillis,
		@NotNull @Min(1) @Max(100_000) Integer medianTokens,
		@NotNull @DecimalMin("0") @DecimalMax("3") Double tokensSigma,
		@NotNull @Min(1) @Max(1_000_000) Integer maximumTokens) {

	/** The default options. */
	public static final EngineOptions DEFAULTS = new EngineOptions(null, null, null, null, null, null, null, null, null,
			null);

	private static final int DEFAULT_SLOTS = 16;

	private static final int DEFAULT_QUEUE_LENGTH = 64;

	private static final double DEFAULT_BASE_GAP_MILLIS = 20;

	private static final double DEFAULT_GAP_PER_REQUEST_MILLIS = 1;

	private static final double DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000;

	private static final int DEFAULT_CACHED_BLOCKS = 2_000;

	private static final int DEFAULT_REPORT_LAG_MILLIS = 500;

	private static final int DEFAULT_MEDIAN_TOKENS = 40;

	private static final double DEFAULT_TOKENS_SIGMA = 1;

	private static final int DEFAULT_MAXIMUM_TOKENS = 8_192;

	/**
	 * Replaces {@code null} by the defaults.
	 */
	public EngineOptions {
		slots = orDefault(slots, DEFAULT_SLOTS);
		queueLength = orDefault(queueLength, DEFAULT_QUEUE_LENGTH);
		baseGapMillis = orDefault(baseGapMillis, DEFAULT_BASE_GAP_MILLIS);
		gapPerRequestMillis = orDefault(gapPerRequestMillis, DEFAULT_GAP_PER_REQUEST_MILLIS);
		prefillTokensPerSecond = orDefault(prefillTokensPerSecond, DEFAULT_PREFILL_TOKENS_PER_SECOND);
		cachedBlocks = orDefault(cachedBlocks, DEFAULT_CACHED_BLOCKS);
		reportLagMillis = orDefault(reportLagMillis, DEFAULT_REPORT_LAG_MILLIS);
		medianTokens = orDefault(medianTokens, DEFAULT_MEDIAN_TOKENS);
		tokensSigma = orDefault(tokensSigma, DEFAULT_TOKENS_SIGMA);
		maximumTokens = orDefault(maximumTokens, DEFAULT_MAXIMUM_TOKENS);
	}

	private static <T> T orDefault(@Nullable T value, T defaultValue) {
		return (value != null) ? value : defaultValue;
	}

}
