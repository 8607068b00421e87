package org.cyclamenstall.store;

/**
 * Orders the callers of the store when the call budget of the daemon runs short, most
 * important first.
 */
public enum StorePriority {

	/** Claims of named requests. */
	CLAIM,

	/** Reads and edits of the catalogue. */
	CATALOGUE,

	/** Everything else. */
	BACKGROUND

}
