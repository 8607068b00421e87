package org.cyclamenstall.internal.follower;

/**
 * Lists the results of asking the store once.
 */
public enum FollowStep {

	/** The store told of changes. */
	CHANGED,

	/**
	 * The store answered that nothing changed, or that it must be asked for a listing.
	 */
	UNCHANGED,

	/** The store did not answer. */
	FAILED

}
