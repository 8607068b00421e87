package org.cyclamenstall.internal.operators;

import org.jspecify.annotations.Nullable;

/**
 * State of an upstream on this daemon. Immutable.
 *
 * @param service the name of the service
 * @param host the name of the host
 * @param address the IP address and TCP port
 * @param failureDomain the failure domain
 * @param state {@code live} if it accepts new requests, otherwise {@code ejected},
 * {@code leaving} or {@code closed}
 * @param inFlight the number of requests of this daemon in flight at the upstream
 * @param window the maximum number of requests of this daemon in flight
 * @param firstTokenSeconds the average time to the first token or byte, or {@code null}
 * if not yet measured
 */
public record UpstreamRow(String service, String host, String address, String failureDomain, String state, int inFlight,
		int window, @Nullable Double firstTokenSeconds) {

}
