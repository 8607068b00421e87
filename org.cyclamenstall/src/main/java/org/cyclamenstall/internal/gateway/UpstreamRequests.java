package org.cyclamenstall.internal.gateway;

import java.time.Duration;
import java.util.Set;

import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.internal.upstream.UpstreamRequest;
import org.cyclamenstall.settings.PolicySettings;

/**
 * Derives what is sent to upstreams from a caller's request. Stateless and thread-safe.
 */
final class UpstreamRequests {

	/** The statuses by which an engine declares that it did not execute a request. */
	private static final Set<Integer> ENGINE_REFUSALS = Set.of(429, 503);

	private static final Duration MAXIMUM_MODEL_ANSWER = Duration.ofMinutes(10);

	private UpstreamRequests() {
	}

	/**
	 * Derives the request for all attempts.
	 * @param request the caller's request
	 * @param policy the bounds on time
	 * @return the request for upstreams
	 */
	static UpstreamRequest of(CallerRequest request, PolicySettings policy) {
		boolean model = request.facts().entry().kind() == EntryKind.MODEL;
		return new UpstreamRequest(request.method(), request.target(), request.headers(), request.body(), model,
				request.facts().streamed(), request.facts().idempotent(),
				model ? ENGINE_REFUSALS : declaredRefusals(request), timeouts(request, policy, model));
	}

	private static Set<Integer> declaredRefusals(CallerRequest request) {
		Set<Integer> declared = request.facts().entry().notExecutedStatuses();
		return (declared != null) ? declared : Set.of();
	}

	private static UpstreamRequest.Timeouts timeouts(CallerRequest request, PolicySettings policy, boolean model) {
		boolean waitsForWhole = model && !request.facts().streamed();
		Duration firstByte = waitsForWhole ? MAXIMUM_MODEL_ANSWER : Duration.ofMillis(policy.firstByteMillis());
		return new UpstreamRequest.Timeouts(Duration.ofMillis(policy.connectMillis()), firstByte,
				Duration.ofMillis(policy.tokenGapMillis()));
	}

}
