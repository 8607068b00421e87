package org.cyclamenstall.internal.gateway;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.claims.Claim;
import org.cyclamenstall.claims.ClaimDecision;
import org.cyclamenstall.claims.ClaimRegistry;
import org.cyclamenstall.claims.ClaimRequest;
import org.cyclamenstall.claims.StoredResponse;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.internal.upstream.BufferedResponse;
import org.cyclamenstall.internal.upstream.UpstreamRequest;
import org.jspecify.annotations.Nullable;

/**
 * Holds the idempotency claim of one request, if it needs one. {@link #acquire()} blocks
 * and is called on a worker thread; all other methods are called on the I/O thread of the
 * exchange.
 */
final class RequestClaim {

	private static final Logger logger = LogManager.getLogger(RequestClaim.class);

	private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

	private final CallerRequest request;

	private final ClaimRegistry registry;

	private @Nullable Claim claim;

	RequestClaim(CallerRequest request, ClaimRegistry registry) {
		this.request = request;
		this.registry = registry;
	}

	/**
	 * Returns whether the claim must still be acquired before the request is sent.
	 * @return {@code true} for a non-idempotent request with an idempotency key whose
	 * claim has not been acquired yet
	 */
	boolean isPending() {
		return this.request.needsClaim() && this.claim == null;
	}

	/**
	 * Acquires the claim from the registry; blocks.
	 * @return the decision, a refusal if the registry failed
	 */
	ClaimDecision acquire() {
		try {
			return this.registry.claim(claimRequest());
		}
		catch (RuntimeException ex) {
			logger.warn("Could not acquire the claim of request {}", this.request.id(), ex);
			return new ClaimDecision.Refused(ErrorKind.INTERNAL,
					"the claim could not be acquired because of an internal error");
		}
	}

	void attach(Claim acquired) {
		this.claim = acquired;
	}

	/**
	 * Moves the claim, if there is one, to its sending state.
	 * @return {@code false} if there is a claim that does not allow the request to be
	 * sent
	 */
	boolean beginSending() {
		return this.claim == null || this.claim.beginSending();
	}

	void recordNotExecuted() {
		if (this.claim != null) {
			this.claim.recordNotExecuted();
		}
	}

	void complete(BufferedResponse response) {
		if (this.claim != null) {
			this.claim.complete(toStored(response));
		}
	}

	/**
	 * Ends the claim of a request that ends without a response: abandons it if the
	 * request cannot have been executed, otherwise records that the outcome is unknown.
	 * @param mayHaveRun whether an attempt may have been executed
	 * @return whether the request was certainly not executed and never will be
	 */
	boolean settleWithoutResponse(boolean mayHaveRun) {
		if (!mayHaveRun && (this.claim == null || this.claim.abandon())) {
			return true;
		}
		if (this.claim != null) {
			this.claim.recordOutcomeUnknown();
		}
		return false;
	}

	private ClaimRequest claimRequest() {
		String key = this.request.idempotencyKey();
		UpstreamRequest upstreamRequest = this.request.upstreamRequest();
		String bodyHash = DigestUtils.sha256Hex(upstreamRequest.method() + " " + upstreamRequest.target() + " "
				+ DigestUtils.sha256Hex(upstreamRequest.body()));
		return new ClaimRequest(this.request.attributes().account().name(), this.request.attributes().entry().name(),
				(key != null) ? key : "", bodyHash, this.request.id());
	}

	/**
	 * Converts the stored response of an earlier request.
	 * @param stored the stored response
	 * @return the response to send
	 */
	static BufferedResponse fromStored(StoredResponse stored) {
		HeaderMap headers = new HeaderMap().put(Headers.CONTENT_TYPE, stored.contentType());
		return new BufferedResponse(stored.status(), headers, stored.body(), 0);
	}

	private static StoredResponse toStored(BufferedResponse response) {
		String contentType = response.headers().getFirst(Headers.CONTENT_TYPE);
		return new StoredResponse(response.status(), (contentType != null) ? contentType : DEFAULT_CONTENT_TYPE,
				response.body());
	}

}
