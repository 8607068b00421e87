package org.cyclamenstall.policy;

import java.util.List;

import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.catalogue.Tier;
import org.jspecify.annotations.Nullable;

/**
 * Holds the attributes of a request that policies base their decisions on. Immutable.
 *
 * @param requestId the request identifier
 * @param entry the catalogue entry that the request is for
 * @param account the client account
 * @param tier the tier in which the request is scheduled
 * @param arrivalNanos the arrival time on the monotonic clock
 * @param idempotent whether the request may be retried safely
 * @param streamed whether the response is streamed
 * @param prefixKey a hash of the start of the prompt, or {@code null} if there is none
 * @param options the options of the request
 */
public record RequestAttributes(String requestId, CatalogueEntry entry, CatalogueEntry account, Tier tier,
		long arrivalNanos, boolean idempotent, boolean streamed, @Nullable String prefixKey, RequestOptions options) {

	/** Stands for the account of a request that needs none. */
	public static final CatalogueEntry ANONYMOUS_ACCOUNT = new CatalogueEntry("anonymous", EntryKind.ACCOUNT,
			"anonymous", Tier.INTERACTIVE, null, null, null, null, null, null, null, null, null, null, null, null);

	/**
	 * Creates attributes with the default options of the catalogue entry.
	 * @param requestId the request identifier
	 * @param entry the catalogue entry that the request is for
	 * @param account the client account
	 * @param tier the tier in which the request is scheduled
	 * @param arrivalNanos the arrival time on the monotonic clock
	 * @param promptTokens the estimated length of the prompt, in tokens; zero for a
	 * service other than a model
	 * @param maximumOutputTokens the caller's limit on generated tokens, or zero for none
	 * @param idempotent whether the request may be retried safely
	 * @param streamed whether the response is streamed
	 * @param prefixKey a hash of the start of the prompt, or {@code null} if there is
	 * none
	 */
	public RequestAttributes(String requestId, CatalogueEntry entry, CatalogueEntry account, Tier tier,
			long arrivalNanos, int promptTokens, int maximumOutputTokens, boolean idempotent, boolean streamed,
			@Nullable String prefixKey) {
		this(requestId, entry, account, tier, arrivalNanos, idempotent, streamed, prefixKey,
				RequestOptions.of(entry, tier, new PromptShape(promptTokens, maximumOutputTokens, 0, List.of())));
	}

	/**
	 * Returns whether the request belongs to a client account.
	 * @return {@code false} if its account is {@link #ANONYMOUS_ACCOUNT}
	 */
	public boolean hasAccount() {
		return this.account != ANONYMOUS_ACCOUNT;
	}

	/**
	 * Returns the length of the prompt.
	 * @return the length in tokens; zero for a service other than a model
	 */
	public int promptTokens() {
		return this.options.prompt().promptTokens();
	}

	/**
	 * Returns the caller's limit on generated tokens.
	 * @return the limit, or zero for none
	 */
	public int maximumOutputTokens() {
		return this.options.prompt().maximumOutputTokens();
	}

}
