package org.cyclamenstall.internal.gateway;

import java.util.concurrent.Executor;

import org.cyclamenstall.claims.ClaimRegistry;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.internal.upstream.UpstreamConnections;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.policy.TrafficController;

/**
 * Gathers what every request needs. Immutable; each component is thread-safe.
 *
 * @param controller decides on attempts
 * @param claims claims named requests
 * @param connections the connections to upstreams
 * @param writer writes answers
 * @param metrics counts
 * @param events takes the events
 * @param clock the monotonic clock
 * @param blockingWork runs what must not block an I/O thread
 */
record GatewayServices(TrafficController controller, ClaimRegistry claims, UpstreamConnections connections,
		AnswerWriter writer, GatewayMetrics metrics, EventLog events, MonotonicClock clock, Executor blockingWork) {

}
