package org.cyclamenstall.internal.gateway;

import java.util.concurrent.TimeUnit;

import org.cyclamenstall.internal.upstream.ResumePoint;
import org.cyclamenstall.internal.upstream.StreamEvent;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.RequestFacts;
import org.jspecify.annotations.Nullable;

/**
 * Counts what was relayed of one answer, over all its attempts. Used on the I/O thread of
 * the exchange.
 */
final class RelayProgress {

	private final RequestFacts facts;

	private final GatewayServices services;

	private long tokens;

	private @Nullable String lastEventId;

	private long lastTokenNanos;

	private long firstNanos;

	private long longestPauseNanos;

	private boolean started;

	RelayProgress(RequestFacts facts, GatewayServices services) {
		this.facts = facts;
		this.services = services;
	}

	/**
	 * Records that an attempt began to answer.
	 * @param grant the grant of the attempt
	 */
	void answerStarted(Grant grant) {
		grant.firstToken();
		long now = this.services.clock().nanoTime();
		if (!this.started) {
			this.started = true;
			this.firstNanos = now - this.facts.arrivalNanos();
			this.services.metrics().firstToken(this.facts.tier(), now - this.facts.arrivalNanos());
		}
		this.lastTokenNanos = now;
	}

	/**
	 * Records tokens of a stream.
	 * @param grant the grant of the attempt
	 * @param event the event that carries them
	 */
	void streamed(Grant grant, StreamEvent event) {
		this.lastEventId = (event.id() != null) ? event.id() : this.lastEventId;
		if (event.tokens() == 0) {
			return;
		}
		long now = this.services.clock().nanoTime();
		this.longestPauseNanos = Math.max(this.longestPauseNanos, now - this.lastTokenNanos);
		this.services.metrics().token(this.facts.tier(), now - this.lastTokenNanos);
		this.lastTokenNanos = now;
		this.tokens += event.tokens();
		grant.tokens(event.tokens());
	}

	/**
	 * Records the tokens of a whole answer.
	 * @param grant the grant of the attempt
	 * @param count how many
	 */
	void whole(Grant grant, long count) {
		if (count > 0) {
			this.tokens = count;
			grant.tokens((int) count);
		}
	}

	/**
	 * Returns the time to the first event or to the whole answer.
	 * @return the time in milliseconds
	 */
	long firstMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.firstNanos);
	}

	/**
	 * Returns the longest pause between two events.
	 * @return the pause in milliseconds
	 */
	long longestPauseMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.longestPauseNanos);
	}

	/**
	 * Returns how much of the stream the caller has.
	 * @return the point to go on from
	 */
	ResumePoint resumePoint() {
		return new ResumePoint(this.tokens, this.lastEventId);
	}

	/**
	 * Returns the tokens that the caller has.
	 * @return the count
	 */
	long tokens() {
		return this.tokens;
	}

}
