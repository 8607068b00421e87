package org.cyclamenstall.routes;

import java.time.Duration;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Holds how the requests of a route are matched and served. Immutable.
 *
 * @param virtualHost the host name that requests must carry
 * @param pathPrefix the prefix of the path, with a leading and a trailing slash
 * @param idempotent whether a request may run more than once
 * @param streamed whether the answer is a stream of events
 * @param resumable whether a stream may be continued at another upstream
 * @param open whether requests need no API key
 * @param cacheAffinity whether the requests share parts of prompts that upstreams keep
 * @param priority the rank, where 0 is the highest
 * @param attempts the largest number of upstreams that may run one request
 * @param objective the time within which an answer is on time, for streams until the
 * first event
 * @param pauseObjective the longest pause between two events of a stream that is on time,
 * or {@code null} for other routes
 * @param timeout the longest time until the whole answer
 * @param services the upstream services with their shares; at least one
 */
public record RouteTerms(String virtualHost, String pathPrefix, boolean idempotent, boolean streamed, boolean resumable,
		boolean open, boolean cacheAffinity, int priority, int attempts, Duration objective,
		@Nullable Duration pauseObjective, Duration timeout, List<WeightedService> services) {

	/**
	 * Chooses an upstream service by weight.
	 * @param draw a random number, at least 0 and less than 1
	 * @return the name of the service
	 */
	public String serviceFor(double draw) {
		double total = this.services.stream().mapToDouble(WeightedService::weight).sum();
		double rest = draw * total;
		for (WeightedService candidate : this.services) {
			rest -= candidate.weight();
			if (rest < 0) {
				return candidate.service();
			}
		}
		return this.services.get(this.services.size() - 1).service();
	}

}
