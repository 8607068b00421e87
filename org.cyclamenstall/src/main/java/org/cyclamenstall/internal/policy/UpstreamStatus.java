package org.cyclamenstall.internal.policy;

import org.cyclamenstall.hosts.ListedHost;
import org.jspecify.annotations.Nullable;

/**
 * Describes the state of one upstream in the traffic controller at one point in time.
 * Immutable.
 *
 * @param host the upstream as listed by the platform
 * @param condition whether the upstream accepts new requests
 * @param inFlight the number of requests of this daemon in flight at the upstream
 * @param window the maximum number of requests of this daemon in flight
 * @param firstTokenSeconds the average time to the first token or byte, or {@code null}
 * if not yet measured
 */
public record UpstreamStatus(ListedHost host, Condition condition, int inFlight, int window,
		@Nullable Double firstTokenSeconds) {

	/**
	 * Enumerates the conditions that decide whether an upstream accepts new requests.
	 */
	public enum Condition {

		/** Accepts new requests. */
		LIVE,

		/** Temporarily ejected because it was slow or failed repeatedly. */
		EJECTED,

		/** Accepts no new requests because it is listed as leaving. */
		LEAVING,

		/** Accepts no new requests because it is draining or unreachable. */
		CLOSED

	}

}
