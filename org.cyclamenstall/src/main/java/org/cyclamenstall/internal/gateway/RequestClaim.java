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
import org.cyclamenstall.claims.StoredAnswer;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.internal.upstream.UpstreamRequest;
import org.cyclamenstall.internal.upstream.WholeAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Holds the claim of one request, if it needs one. {@link #decide()} blocks and is called
 * on a worker thread; everything else is used on the I/O thread of the exchange.
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
	 * Returns whether a claim must be decided before the request is sent.
	 * @return {@code true} for a named request without its claim
	 */
	boolean isMissing() {
		return this.request.needsClaim() && this.claim == null;
	}

	/**
	 * Asks for the claim; blocks.
	 * @return the decision
	 */
	ClaimDecision decide() {
		try {
			return this.registry.claim(claimRequest());
		}
		catch (RuntimeException ex) {
			logger.warn("Claim of {} failed", this.request.id(), ex);
			return new ClaimDecision.Refused(ErrorKind.INTERNAL, "the claim failed");
		}
	}

	void take(Claim granted) {
		this.claim = granted;
	}

	/**
	 * Enters the sending state of the claim.
	 * @return {@code false} if the request must not be sent
	 */
	boolean beginSending() {
		return this.claim == null || this.claim.beginSending();
	}

	void provedNotRun() {
		if (this.claim != null) {
			this.claim.provedNotRun();
		}
	}

	void complete(WholeAnswer answer) {
		if (this.claim != null) {
			this.claim.complete(stored(answer));
		}
	}

	/**
	 * Settles the claim of a request that got no answer.
	 * @param mayHaveRun whether an attempt may have run
	 * @return whether it is certain that the request did not run and never will
	 */
	boolean giveUp(boolean mayHaveRun) {
		if (!mayHaveRun && (this.claim == null || this.claim.abandon())) {
			return true;
		}
		if (this.claim != null) {
			this.claim.outcomeUnknown();
		}
		return false;
	}

	private ClaimRequest claimRequest() {
		String key = this.request.idempotencyKey();
		UpstreamRequest sent = this.request.upstreamRequest();
		String bodyHash = DigestUtils
			.sha256Hex(sent.method() + " " + sent.target() + " " + DigestUtils.sha256Hex(sent.body()));
		return new ClaimRequest(this.request.facts().account().name(), this.request.facts().entry().name(),
				(key != null) ? key : "", bodyHash, this.request.id());
	}

	/**
	 * Returns the stored answer of an earlier request in the form of an answer.
	 * @param stored the stored answer
	 * @return the answer
	 */
	static WholeAnswer replayed(StoredAnswer stored) {
		HeaderMap headers = new HeaderMap().put(Headers.CONTENT_TYPE, stored.contentType());
		return new WholeAnswer(stored.status(), headers, stored.body(), 0);
	}

	private static StoredAnswer stored(WholeAnswer answer) {
		String contentType = answer.headers().getFirst(Headers.CONTENT_TYPE);
		return new StoredAnswer(answer.status(), (contentType != null) ? contentType : DEFAULT_CONTENT_TYPE,
				answer.body());
	}

}
