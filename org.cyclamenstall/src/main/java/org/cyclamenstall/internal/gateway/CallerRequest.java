package org.cyclamenstall.internal.gateway;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.cyclamenstall.policy.RequestFacts;
import org.jspecify.annotations.Nullable;

/**
 * Holds a request that passed its checks. The body must not be changed.
 *
 * @param facts what the policy may know of it
 * @param method the HTTP method
 * @param target the path with its query
 * @param headers the headers to pass on
 * @param body the body in bytes
 * @param idempotencyKey the caller's name for the request, or {@code null} if it has none
 */
record CallerRequest(RequestFacts facts, HttpString method, String target, HeaderMap headers, byte[] body,
		@Nullable String idempotencyKey) {

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
