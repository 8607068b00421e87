package org.cyclamenstall.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Simulates the prefix cache of an engine. Prompts are cached in blocks; the least
 * recently used blocks are evicted when the capacity is exceeded. Not thread-safe.
 */
final class PromptCache {

	static final int BLOCK_CHARACTERS = 64;

	private final Map<Long, Boolean> blocks;

	PromptCache(int capacityBlocks) {
		this.blocks = new LinkedHashMap<>(16, 0.75f, true) {

			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
				return size() > capacityBlocks;
			}

		};
	}

	/**
	 * Looks up the longest cached prefix of a prompt, then adds all complete blocks of
	 * the prompt to the cache.
	 * @param prompt the prompt
	 * @return the number of characters of the prefix that were cached
	 */
	int lookUpAndStore(String prompt) {
		long hash = 0;
		int cachedCharacters = 0;
		boolean contiguous = true;
		for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
			byte[] block = prompt.substring(end - BLOCK_CHARACTERS, end).getBytes(StandardCharsets.UTF_8);
			hash = hash * 31 + MurmurHash3.hash128x64(block)[0];
			contiguous &= this.blocks.put(hash, Boolean.TRUE) != null;
			cachedCharacters = contiguous ? end : cachedCharacters;
		}
		return cachedCharacters;
	}

}
