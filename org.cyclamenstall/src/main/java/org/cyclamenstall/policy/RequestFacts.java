package org.cyclamenstall.policy;

import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.Tier;
import org.jspecify.annotations.Nullable;

/**
 * Holds what the policy may know of a request. Immutable.
 *
 * @param requestId the request identifier
 * @param entry the catalogue entry that serves it
 * @param account the client account
 * @param tier the effective class of service
 * @param arrivalNanos when it arrived, on the monotonic clock
 * @param promptTokens the estimated length of the prompt, in tokens; zero for a plain
 * service
 * @param maximumTokens the caller's bound on generated tokens, or zero for none
 * @param idempotent whether it may be repeated
 * @param streamed whether the answer is streamed
 * @param prefixKey a hash of the start of the prompt, or {@code null} for none
 */
public record RequestFacts(String requestId, CatalogueEntry entry, CatalogueEntry account, Tier tier, long arrivalNanos,
		int promptTokens, int maximumTokens, boolean idempotent, boolean streamed, @Nullable String prefixKey) {

}
