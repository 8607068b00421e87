package org.cyclamenstall.catalogue;

import jakarta.validation.constraints.DecimalMax;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import org.jspecify.annotations.Nullable;

/**
 * Limits on the use of an entry or a client account, enforced across all daemons. A
 * {@code null} component means no limit. Immutable.
 *
 * @param requestsPerSecond the maximum request rate
 * @param concurrentRequests the maximum number of requests that are dispatched at the
 * same time
 * @param tokensPerSecond the maximum rate of prompt and generated tokens
 * @param queueSeconds the maximum time a request waits for an upstream, in seconds
 * @param answerSeconds the maximum time until the response is complete, in seconds
 * @param bodyBytes the maximum size of a request body, in bytes
 */
public record Limits(@Nullable @DecimalMin("0.01") @DecimalMax("1000000") Double requestsPerSecond,
		@Nullable @Min(1) @Max(1_000_000) Integer concurrentRequests,
		@Nullable @DecimalMin("1") @DecimalMax("1000000000") Double tokensPerSecond,
		@Nullable @DecimalMin("0.01") @DecimalMax("86400") Double queueSeconds,
		@Nullable @DecimalMin("0.01") @DecimalMax("86400") Double answerSeconds,
		@Nullable @Min(1) @Max(67_108_864) Integer bodyBytes) {

	/** No limits. */
	public static final Limits NONE = new Limits(null, null, null, null, null, null);

}
