package org.cyclamenstall.internal.policy.placement;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.cyclamenstall.policy.PromptPart;

/**
 * Estimates which parts of prompts an engine still holds, from what this daemon sent it.
 * The least recently used parts are forgotten first. Answers the load pattern of many
 * requests that share the beginning of their prompts. Not thread-safe.
 */
final class CachedParts {

	private static final int INITIAL_CAPACITY = 64;

	private static final float LOAD_FACTOR = 0.75f;

	private final Map<String, Integer> tokensById = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

	private final long capacityTokens;

	private long heldTokens;

	CachedParts(long capacityTokens) {
		this.capacityTokens = capacityTokens;
	}

	/**
	 * Returns the tokens at the beginning of a prompt that need not be read again.
	 * @param parts the parts of the prompt in order
	 * @return the tokens
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
	 * Records a prompt that the engine reads.
	 * @param parts the parts of the prompt in order
	 */
	void read(List<PromptPart> parts) {
		for (PromptPart part : parts) {
			Integer before = this.tokensById.put(part.id(), part.tokens());
			this.heldTokens += part.tokens() - ((before != null) ? before : 0);
		}
		while (this.heldTokens > this.capacityTokens && !this.tokensById.isEmpty()) {
			String oldest = this.tokensById.keySet().iterator().next();
			this.heldTokens -= this.tokensById.remove(oldest);
		}
	}

	void clear() {
		this.tokensById.clear();
		this.heldTokens = 0;
	}

}
