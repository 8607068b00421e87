package org.cyclamenstall.policy;

import java.util.Map;

/**
 * Reports what a daemon would use of each fleet-wide limit, so that each daemon's share
 * can follow the demand. Immutable.
 *
 * @param demandByLimit the demand by name of the limit, in its own unit (requests per
 * second, tokens per second or concurrent requests); limits without demand are left out
 * @param inFlightByUpstream the dispatched requests by {@code address:port} of the
 * upstream; idle upstreams are left out
 */
public record DemandReport(Map<String, Double> demandByLimit, Map<String, Integer> inFlightByUpstream) {

	/** Reports no demand. */
	public static final DemandReport NONE = new DemandReport(Map.of(), Map.of());

}
