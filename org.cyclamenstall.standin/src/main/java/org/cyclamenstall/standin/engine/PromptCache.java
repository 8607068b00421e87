package org.cyclamenstall.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Remembers the prefixes of prompts in blocks, as many as its memory holds, and forgets
 * the least recently used first. Not thread-safe.
 */
final class PromptCache {

	static final int BLOCK_CHARACTERS = 64;

	private final Map<Long, Boolean> blocks;

	PromptCache(int capacity) {
		this.blocks = new LinkedHashMap<>(16, 0.75f, true) {

			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
				return size() > capacity;
			}

		};
	}

	/**
	 * Looks up the longest prefix in memory, then remembers the whole prompt.
	 * @param prompt the prompt
	 * @return the number of characters that were in memory
	 */
	int use(String prompt) {
		long hash = 0;
		int known = 0;
		boolean unbroken = true;
		for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
			byte[] block = prompt.substring(end - BLOCK_CHARACTERS, end).getBytes(StandardCharsets.UTF_8);
			hash = hash * 31 + MurmurHash3.hash128x64(block)[0];
			unbroken &= this.blocks.put(hash, Boolean.TRUE) != null;
			known = unbroken ? end : known;
		}
		return known;
	}

}
