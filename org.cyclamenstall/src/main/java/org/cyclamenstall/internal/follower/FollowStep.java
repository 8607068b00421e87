package org.cyclamenstall.internal.follower;

/**
 * Lists the results of one poll of the store.
 */
public enum FollowStep {

	/** The store returned changes. */
	CHANGED,

	/**
	 * The store returned a listing or no changes, or it no longer has the requested
	 * history and must be listed again.
	 */
	UNCHANGED,

	/** The store did not respond, or handling its response failed. */
	FAILED

}
