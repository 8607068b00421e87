package org.cyclamenstall.internal.gateway;

import org.cyclamenstall.internal.upstream.UpstreamRequest;
import org.cyclamenstall.policy.RequestAttributes;
import org.jspecify.annotations.Nullable;

/**
 * Request that passed validation. The body of the upstream request must not be changed.
 *
 * @param attributes the attributes that the policy evaluates
 * @param upstreamRequest the request to send to upstreams
 * @param idempotencyKey the idempotency key of the caller, or {@code null} if there is
 * none
 */
public record CallerRequest(RequestAttributes attributes, UpstreamRequest upstreamRequest,
		@Nullable String idempotencyKey) {

	/**
	 * Returns whether the request must be claimed before it is sent.
	 * @return {@code true} for a non-idempotent request with an idempotency key
	 */
	boolean needsClaim() {
		return this.idempotencyKey != null && !this.attributes.idempotent();
	}

	String id() {
		return this.attributes.requestId();
	}

}
