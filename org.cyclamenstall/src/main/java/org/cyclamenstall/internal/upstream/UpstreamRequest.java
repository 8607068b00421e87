package org.cyclamenstall.internal.upstream;

import java.time.Duration;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.jspecify.annotations.Nullable;

/**
 * Request to an upstream. It is the same for all attempts, apart from the headers that
 * the protocol adds to each attempt. Immutable once built.
 *
 * @param protocol the protocol of the upstreams
 * @param method the HTTP method
 * @param target the path with its query
 * @param headers the headers to send, without hop-by-hop headers
 * @param body the body in bytes
 * @param streamed whether a stream of events is requested
 * @param maximumIdle the maximum time that a reused connection may have been idle; short
 * for requests that must not be repeated, because on a connection that the upstream has
 * closed the request fails after bytes were sent
 * @param retriesErrorResponses whether an error response counts as a failed attempt while
 * another attempt is allowed
 * @param deadlineNanos the deadline of the caller, on the monotonic clock, or
 * {@code null} if there is none
 * @param timeouts the timeouts of each attempt
 * @param timeoutsAreFinal whether an attempt fails at its timeout even if its stream has
 * begun and no other attempt is allowed
 */
public record UpstreamRequest(UpstreamProtocol protocol, HttpString method, String target, HeaderMap headers,
		byte[] body, boolean streamed, Duration maximumIdle, boolean retriesErrorResponses,
		@Nullable Long deadlineNanos, Timeouts timeouts, boolean timeoutsAreFinal) {

	/**
	 * Timeouts of an attempt.
	 *
	 * @param connect the maximum time to connect
	 * @param firstByte the maximum time from sending to the first byte of the response
	 * @param gap the maximum time between two reads after the first byte
	 */
	public record Timeouts(Duration connect, Duration firstByte, Duration gap) {

	}

}
