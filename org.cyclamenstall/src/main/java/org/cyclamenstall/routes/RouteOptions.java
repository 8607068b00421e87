package org.cyclamenstall.routes;

import java.time.Duration;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Options that determine how the requests of a route are matched and processed.
 * Immutable.
 *
 * @param virtualHost the host name that requests must have
 * @param pathPrefix the prefix of the path, with a leading and a trailing slash
 * @param idempotent whether a request may be executed more than once
 * @param streamed whether the response is a stream of events
 * @param resumable whether a stream may be continued at another upstream
 * @param publicAccess whether requests need no API key
 * @param cacheAffinity whether the requests share prompt prefixes that upstreams cache
 * @param priority the priority, where 0 is the highest
 * @param maximumAttempts the maximum number of attempts that may have executed a request
 * @param latencyObjective the latency objective of a response; for streams, of the first
 * event
 * @param eventGapObjective the objective for the longest gap between two events of a
 * stream, or {@code null} for none
 * @param firstEventTimeout the time that callers wait for the first event of a stream, or
 * {@code null} for no limit of its own
 * @param responseTimeout the maximum time until the response is complete
 * @param services the upstream services with their weights; at least one
 */
public record RouteOptions(String virtualHost, String pathPrefix, boolean idempotent, boolean streamed,
		boolean resumable, boolean publicAccess, boolean cacheAffinity, int priority, int maximumAttempts,
		Duration latencyObjective, @Nullable Duration eventGapObjective, @Nullable Duration firstEventTimeout,
		Duration responseTimeout, List<WeightedService> services) {

	/**
	 * Selects an upstream service at random according to the weights.
	 * @param random a random number, at least 0 and less than 1
	 * @return the name of the service
	 */
	public String selectService(double random) {
		double total = this.services.stream().mapToDouble(WeightedService::weight).sum();
		double remaining = random * total;
		for (WeightedService candidate : this.services) {
			remaining -= candidate.weight();
			if (remaining < 0) {
				return candidate.service();
			}
		}
		return this.services.get(this.services.size() - 1).service();
	}

}
