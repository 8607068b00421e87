package org.cyclamenstall.internal.policy;

import org.cyclamenstall.hosts.ListedHost;
import org.jspecify.annotations.Nullable;

/**
 * Describes one upstream as the traffic controller sees it at one time. Immutable.
 *
 * @param host the upstream as it is listed
 * @param condition whether it takes new work
 * @param inFlight the requests of this daemon that run there
 * @param window the bound on them
 * @param firstTokenSeconds the average time to the first token or byte, or {@code null}
 * before the first one
 */
public record UpstreamUse(ListedHost host, Condition condition, int inFlight, int window,
		@Nullable Double firstTokenSeconds) {

	/**
	 * Tells whether an upstream takes new work.
	 */
	public enum Condition {

		/** Takes new work. */
		LIVE,

		/** Takes none for a while because it was slow. */
		EJECTED,

		/** Takes none: it is listed as leaving. */
		LEAVING,

		/** Takes none: it said that it drains, or refused connections. */
		CLOSED

	}

}
