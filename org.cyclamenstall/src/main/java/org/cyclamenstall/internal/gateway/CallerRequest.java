package org.cyclamenstall.internal.gateway;

import org.cyclamenstall.internal.upstream.UpstreamRequest;
import org.cyclamenstall.policy.RequestFacts;
import org.jspecify.annotations.Nullable;

/**
 * Holds a request that passed its checks. The body must not be changed.
 *
 * @param facts what the policy may know of it
 * @param upstreamRequest what is sent to upstreams
 * @param idempotencyKey the caller's name for the request, or {@code null} if it has none
 */
public record CallerRequest(RequestFacts facts, UpstreamRequest upstreamRequest, @Nullable String idempotencyKey) {

	/**
	 * Returns whether the request must be claimed before it is sent.
	 * @return {@code true} for a named request that may not be repeated
	 */
	boolean needsClaim() {
		return this.idempotencyKey != null && !this.facts.idempotent();
	}

	/**
	 * Returns the request identifier.
	 * @return the identifier
	 */
	String id() {
		return this.facts.requestId();
	}

}
