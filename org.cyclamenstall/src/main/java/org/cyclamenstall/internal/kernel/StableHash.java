package org.cyclamenstall.internal.kernel;

/**
 * Computes hashes that are the same in all processes and versions. Stateless and
 * thread-safe.
 */
public final class StableHash {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private StableHash() {
	}

	/**
	 * Returns the 64-bit FNV-1a hash of a text.
	 * @param text the text
	 * @return the hash
	 */
	public static long of(String text) {
		long hash = FNV_OFFSET;
		for (int index = 0; index < text.length(); index++) {
			hash = (hash ^ text.charAt(index)) * FNV_PRIME;
		}
		return hash;
	}

}
