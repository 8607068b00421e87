package org.cyclamenstall.internal.upstream;

import java.time.Duration;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.jspecify.annotations.Nullable;

/**
 * Holds what is sent to an upstream, the same for every attempt but for the attempt's own
 * headers. Immutable once built.
 *
 * @param protocol the protocol of the upstreams
 * @param method the HTTP method
 * @param target the path with its query
 * @param headers the headers to send, without hop-by-hop ones
 * @param body the body in bytes
 * @param streamed whether a stream of events is asked for
 * @param maximumReuseIdle the longest time that a kept connection may have been idle to
 * be used; short for requests that may not be repeated, because a connection that the
 * upstream closed fails after bytes were handed over
 * @param retriesServerErrors whether an answer with a status of 500 or more counts as a
 * failed attempt while another one may be made
 * @param deadlineNanos when the caller gives up, on the monotonic clock, or {@code null}
 * if it is not known
 * @param timeouts the bounds on time
 */
public record UpstreamRequest(UpstreamProtocol protocol, HttpString method, String target, HeaderMap headers,
		byte[] body, boolean streamed, Duration maximumReuseIdle, boolean retriesServerErrors,
		@Nullable Long deadlineNanos, Timeouts timeouts) {

	/**
	 * Bounds the time of an attempt.
	 *
	 * @param connect the longest time to connect
	 * @param firstByte the longest wait from sending to the first byte
	 * @param gap the longest pause between two reads after that
	 */
	public record Timeouts(Duration connect, Duration firstByte, Duration gap) {

	}

}
