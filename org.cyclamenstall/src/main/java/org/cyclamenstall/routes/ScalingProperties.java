package org.cyclamenstall.routes;

import java.time.Duration;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Properties of a service whose upstreams are ordered from the platform. Immutable.
 *
 * @param minimum the minimum number of upstreams in a failure domain, of both kinds
 * @param maximum the maximum number of upstreams in a failure domain, of both kinds
 * @param bootTime the time after which a new upstream serves
 * @param preemptibleCostShare the cost of a preemptible upstream as a share of that of
 * one on demand, or {@code null} if there are none
 * @param costByDomain the relative cost of an upstream by failure domain; its keys are
 * the failure domains in which upstreams can be ordered
 */
public record ScalingProperties(int minimum, int maximum, Duration bootTime, @Nullable Double preemptibleCostShare,
		Map<String, Double> costByDomain) {

}
