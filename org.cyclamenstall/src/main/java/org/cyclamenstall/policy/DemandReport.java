package org.cyclamenstall.policy;

import java.util.Map;

/**
 * Describes the demand of one daemon on each fleet-wide limit. Limits are divided among
 * the daemons according to these reports. Immutable.
 *
 * @param demandByLimit the demand by limit name, in the unit of the limit (requests per
 * second, tokens per second or concurrent requests); limits without demand are omitted
 * @param inFlightByUpstream the number of requests in flight by {@code address:port} of
 * the upstream; idle upstreams are omitted
 */
public record DemandReport(Map<String, Double> demandByLimit, Map<String, Integer> inFlightByUpstream) {

	/** Report without any demand. */
	public static final DemandReport NONE = new DemandReport(Map.of(), Map.of());

}
