package org.cyclamenstall.policy;

import java.util.List;

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
 * @param idempotent whether it may be repeated
 * @param streamed whether the answer is streamed
 * @param prefixKey a hash of the start of the prompt, or {@code null} for none
 * @param terms the terms under which it is served
 */
public record RequestFacts(String requestId, CatalogueEntry entry, CatalogueEntry account, Tier tier, long arrivalNanos,
		boolean idempotent, boolean streamed, @Nullable String prefixKey, RequestTerms terms) {

	/**
	 * Creates the facts of a request whose terms are those of its entry.
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
	public RequestFacts(String requestId, CatalogueEntry entry, CatalogueEntry account, Tier tier, long arrivalNanos,
			int promptTokens, int maximumTokens, boolean idempotent, boolean streamed, @Nullable String prefixKey) {
		this(requestId, entry, account, tier, arrivalNanos, idempotent, streamed, prefixKey,
				RequestTerms.of(entry, tier, new PromptShape(promptTokens, maximumTokens, 0, List.of())));
	}

	/**
	 * Returns the length of the prompt.
	 * @return the length in tokens; zero for a plain service
	 */
	public int promptTokens() {
		return this.terms.prompt().promptTokens();
	}

	/**
	 * Returns the caller's bound on generated tokens.
	 * @return the bound, or zero for none
	 */
	public int maximumTokens() {
		return this.terms.prompt().maximumOutputTokens();
	}

}
