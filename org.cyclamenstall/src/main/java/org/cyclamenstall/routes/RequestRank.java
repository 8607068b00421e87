package org.cyclamenstall.routes;

import org.jspecify.annotations.Nullable;

/**
 * Joins the rank of a client account and the rank of a route into the rank of a request.
 * The account's goes first, and the route's decides between requests whose accounts rank
 * alike: most accounts do, and without it a crest of the least urgent requests would push
 * out the urgent ones. Does no input or output.
 */
public final class RequestRank {

	/** How many ranks of accounts and of routes are told apart. */
	private static final int RANKS = 3;

	/** The last rank, that of the least urgent requests. */
	public static final int LAST = RANKS * RANKS - 1;

	private RequestRank() {
	}

	/**
	 * Returns the rank of a request.
	 * @param account the rank of its account, or {@code null} if it has none of its own
	 * @param route the rank of its route
	 * @return the rank, from 0 for the most urgent to {@link #LAST}
	 */
	public static int of(@Nullable Integer account, int route) {
		return RANKS * bounded((account != null) ? account : route) + bounded(route);
	}

	private static int bounded(int rank) {
		return Math.min(RANKS - 1, Math.max(0, rank));
	}

}
