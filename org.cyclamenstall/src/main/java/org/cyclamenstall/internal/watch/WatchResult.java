package org.cyclamenstall.internal.watch;

/**
 * Lists the results of one poll of the store.
 */
public enum WatchResult {

	/** The store returned changes. */
	CHANGED,

	/**
	 * The next poll can follow immediately: the store returned a listing or no changes,
	 * or it no longer has the requested history and must be listed again.
	 */
	UNCHANGED,

	/** The store did not respond, or handling its response failed. */
	FAILED

}
