package org.cyclamenstall.internal.gateway;

import java.util.concurrent.Executor;

import org.cyclamenstall.claims.ClaimRegistry;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.internal.http.BodyBudget;
import org.cyclamenstall.internal.upstream.UpstreamConnectionPool;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.policy.TrafficController;

/**
 * Shared services that every request uses. Immutable; each component is thread-safe.
 *
 * @param controller grants and refuses attempts
 * @param claims acquires idempotency claims
 * @param connectionPool the pool of connections to upstreams
 * @param writer writes responses to callers
 * @param metrics the metrics of the server
 * @param openRequests the requests whose response is not complete
 * @param bodyBudget limits the memory of the bodies of all requests
 * @param events receives the events of requests
 * @param clock the monotonic clock
 * @param blockingExecutor runs tasks that must not block an I/O thread
 */
record GatewayServices(TrafficController controller, ClaimRegistry claims, UpstreamConnectionPool connectionPool,
		ResponseWriter writer, GatewayMetrics metrics, OpenRequests openRequests, BodyBudget bodyBudget,
		EventLog events, MonotonicClock clock, Executor blockingExecutor) {

}
