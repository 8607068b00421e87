package org.cyclamenstall.store;

/**
 * Lists the priorities of store calls, highest first. They decide which calls are made
 * when the call budget of the daemon runs low.
 */
public enum StorePriority {

	/** Claims of requests with an idempotency key. */
	CLAIM,

	/** Reads and edits of the catalogue. */
	CATALOGUE,

	/** All other calls. */
	BACKGROUND

}
