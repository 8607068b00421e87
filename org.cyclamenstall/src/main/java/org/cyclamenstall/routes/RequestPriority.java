package org.cyclamenstall.routes;

import org.jspecify.annotations.Nullable;

/**
 * Combines the priorities of a client account and of a route into the priority of a
 * request. The priority of the account takes precedence; the priority of the route
 * decides between requests whose accounts have the same priority. Most accounts share one
 * priority, so without the route a burst of low-priority requests would displace urgent
 * ones. Stateless and thread-safe.
 */
public final class RequestPriority {

	/** Number of distinct priority levels of accounts and of routes. */
	private static final int LEVELS = 3;

	/** Lowest priority: the largest value that {@link #of} returns. */
	public static final int LOWEST = LEVELS * LEVELS - 1;

	private RequestPriority() {
	}

	/**
	 * Returns the priority of a request.
	 * @param accountPriority the priority of its account, or {@code null} if the account
	 * has none, in which case the priority of the route is used in its place
	 * @param routePriority the priority of its route
	 * @return the priority, from 0 for the most urgent to {@link #LOWEST}
	 */
	public static int of(@Nullable Integer accountPriority, int routePriority) {
		return LEVELS * clamp((accountPriority != null) ? accountPriority : routePriority) + clamp(routePriority);
	}

	private static int clamp(int level) {
		return Math.min(LEVELS - 1, Math.max(0, level));
	}

}
