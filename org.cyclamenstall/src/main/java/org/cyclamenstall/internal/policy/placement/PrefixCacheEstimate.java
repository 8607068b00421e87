package org.cyclamenstall.internal.policy.placement;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.cyclamenstall.policy.PromptPart;

/**
 * Estimates which prompt parts are in the prefix cache of an engine, based on the prompts
 * that this daemon sent to it. Many requests share the beginning of their prompts, which
 * an engine does not prefill again while it is cached. Evicts the least recently used
 * parts when the cache capacity is exceeded. Not thread-safe.
 */
final class PrefixCacheEstimate {

	private static final int INITIAL_CAPACITY = 64;

	private static final float LOAD_FACTOR = 0.75f;

	private final Map<String, Integer> tokensById = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

	private final long capacityTokens;

	private long totalTokens;

	PrefixCacheEstimate(long capacityTokens) {
		this.capacityTokens = capacityTokens;
	}

	/**
	 * Returns the number of leading prompt tokens that are expected to be cached.
	 * @param parts the parts of the prompt in order
	 * @return the number of tokens before the first part that is not cached
	 */
	int cachedTokens(List<PromptPart> parts) {
		int cached = 0;
		for (PromptPart part : parts) {
			if (!this.tokensById.containsKey(part.id())) {
				return cached;
			}
			cached += part.tokens();
		}
		return cached;
	}

	/**
	 * Records a prompt that was sent to the engine and marks its parts as most recently
	 * used.
	 * @param parts the parts of the prompt in order
	 */
	void recordPrompt(List<PromptPart> parts) {
		for (PromptPart part : parts) {
			Integer previousTokens = this.tokensById.put(part.id(), part.tokens());
			this.totalTokens += part.tokens() - ((previousTokens != null) ? previousTokens : 0);
		}
		while (this.totalTokens > this.capacityTokens && !this.tokensById.isEmpty()) {
			String leastRecentlyUsed = this.tokensById.keySet().iterator().next();
			this.totalTokens -= this.tokensById.remove(leastRecentlyUsed);
		}
	}

	void clear() {
		this.tokensById.clear();
		this.totalTokens = 0;
	}

}
