package org.cyclamenstall.catalogue;

import jakarta.validation.constraints.DecimalMax;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import org.jspecify.annotations.Nullable;

/**
 * Bounds the use of an entry or of a client account across all daemons. A {@code null}
 * component sets no bound. Immutable.
 *
 * @param requestsPerSecond requests per second
 * @param concurrentRequests requests that are dispatched at the same time
 * @param tokensPerSecond prompt and generated tokens per second
 * @param queueSeconds the longest wait for an upstream, in seconds
 * @param answerSeconds the longest time to a whole answer, in seconds
 * @param bodyBytes the largest request body, in bytes
 */
public record Limits(@Nullable @DecimalMin("0.01") @DecimalMax("1000000") Double requestsPerSecond,
		@Nullable @Min(1) @Max(1_000_000) Integer concurrentRequests,
		@Nullable @DecimalMin("1") @DecimalMax("1000000000") Double tokensPerSecond,
		@Nullable @DecimalMin("0.01") @DecimalMax("86400") Double queueSeconds,
		@Nullable @DecimalMin("0.01") @DecimalMax("86400") Double answerSeconds,
		@Nullable @Min(1) @Max(67_108_864) Integer bodyBytes) {

	/** Sets no bound. */
	public static final Limits NONE = new Limits(null, null, null, null, null, null);

}
