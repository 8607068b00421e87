package org.cyclamenstall.internal.gateway;

import java.util.concurrent.TimeUnit;

import org.cyclamenstall.internal.upstream.ResumePoint;
import org.cyclamenstall.internal.upstream.StreamEvent;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.RequestAttributes;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the response data relayed to one caller over all attempts of its request. Used
 * on the I/O thread of the exchange.
 */
final class RelayProgress {

	private final RequestAttributes attributes;

	private final GatewayServices services;

	private long tokens;

	private @Nullable String lastEventId;

	private long lastTokenNanos;

	private long timeToFirstEventNanos;

	private long longestGapNanos;

	private boolean started;

	RelayProgress(RequestAttributes attributes, GatewayServices services) {
		this.attributes = attributes;
		this.services = services;
	}

	/**
	 * Records the start of the response of an attempt. The time to the first event is
	 * measured only for the first attempt whose response starts.
	 * @param grant the grant of the attempt
	 */
	void recordStart(Grant grant) {
		grant.recordFirstToken();
		long now = this.services.clock().nanoTime();
		if (!this.started) {
			this.started = true;
			this.timeToFirstEventNanos = now - this.attributes.arrivalNanos();
			this.services.metrics().recordFirstToken(this.attributes.tier(), now - this.attributes.arrivalNanos());
		}
		this.lastTokenNanos = now;
	}

	/**
	 * Records an event that was relayed.
	 * @param grant the grant of the attempt
	 * @param event the event
	 */
	void recordEvent(Grant grant, StreamEvent event) {
		this.lastEventId = (event.id() != null) ? event.id() : this.lastEventId;
		if (event.tokens() == 0) {
			return;
		}
		long now = this.services.clock().nanoTime();
		this.longestGapNanos = Math.max(this.longestGapNanos, now - this.lastTokenNanos);
		this.services.metrics().recordTokenEvent(this.attributes.tier(), now - this.lastTokenNanos);
		this.lastTokenNanos = now;
		this.tokens += event.tokens();
		grant.recordTokens(event.tokens());
	}

	/**
	 * Records the tokens of a buffered response.
	 * @param grant the grant of the attempt
	 * @param count the number of generated tokens
	 */
	void recordResponseTokens(Grant grant, long count) {
		if (count > 0) {
			this.tokens = count;
			grant.recordTokens((int) count);
		}
	}

	/**
	 * Returns the time from the arrival of the request to the first event or to the
	 * buffered response.
	 * @return the time in milliseconds
	 */
	long timeToFirstEventMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.timeToFirstEventNanos);
	}

	/**
	 * Returns the maximum time between two events with tokens of the same attempt.
	 * @return the time in milliseconds
	 */
	long longestGapMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.longestGapNanos);
	}

	/**
	 * Returns the point from which another attempt can resume the stream.
	 * @return the end of the data that was relayed
	 */
	ResumePoint resumePoint() {
		return new ResumePoint(this.tokens, this.lastEventId);
	}

	/**
	 * Returns the number of tokens that were relayed to the caller.
	 * @return the number of tokens
	 */
	long tokens() {
		return this.tokens;
	}

}
