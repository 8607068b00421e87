package org.cyclamenstall.store;

/**
 * Versions in the history of a store. A store that was restored from an older copy gives
 * out its revisions again; its generation, which rises with each restore, tells them
 * apart. A version consists of both, so that it grows with each change across restores,
 * and never stands for two changes. Revisions of a store without generations are versions
 * of generation zero. Stateless and thread-safe.
 */
public final class StoreVersions {

	/** Number of the lower bits, which hold the revision. */
	private static final int REVISION_BITS = 40;

	/** Highest revision of which a version can be formed. */
	public static final long MAXIMUM_REVISION = (1L << REVISION_BITS) - 1;

	/** Highest generation of which a version can be formed. */
	public static final long MAXIMUM_GENERATION = (1L << (Long.SIZE - 2 - REVISION_BITS)) - 1;

	private StoreVersions() {
	}

	/**
	 * Forms a version.
	 * @param generation the generation of the store
	 * @param revision a number that the store gives out in increasing order
	 * @return the version
	 * @throws IllegalArgumentException if one of them is out of its range
	 */
	public static long of(long generation, long revision) {
		if (generation < 0 || generation > MAXIMUM_GENERATION || revision < 0 || revision > MAXIMUM_REVISION) {
			throw new IllegalArgumentException("No version of generation " + generation + ", revision " + revision);
		}
		return (generation << REVISION_BITS) | revision;
	}

	/**
	 * Returns the generation of a version.
	 * @param version the version
	 * @return the generation, or zero of a store without generations
	 */
	public static long generation(long version) {
		return version >>> REVISION_BITS;
	}

	/**
	 * Returns the number that the store gave out.
	 * @param version the version
	 * @return the revision
	 */
	public static long revision(long version) {
		return version & MAXIMUM_REVISION;
	}

}
