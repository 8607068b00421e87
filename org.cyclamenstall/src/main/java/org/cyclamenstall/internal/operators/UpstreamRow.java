package org.cyclamenstall.internal.operators;

import org.jspecify.annotations.Nullable;

/**
 * Describes one upstream as the daemon sees it. Immutable.
 *
 * @param service the name of the service
 * @param host the name of the host
 * @param address the IP number and TCP port
 * @param failureDomain the failure domain
 * @param state whether it takes new work, and why not
 * @param inFlight the requests of this daemon that run there
 * @param window the bound on them
 * @param firstTokenSeconds the time to the first token or byte that is expected, or
 * {@code null} if it is not known
 */
public record UpstreamRow(String service, String host, String address, String failureDomain, String state, int inFlight,
		int window, @Nullable Double firstTokenSeconds) {

}
