package org.cyclamenstall.internal.upstream;

import java.time.Duration;
import java.util.Set;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;

/**
 * Holds what is sent to an upstream, the same for every attempt but for the attempt's own
 * headers. Immutable once built.
 *
 * @param method the HTTP method
 * @param target the path with its query
 * @param headers the headers to send, without hop-by-hop ones
 * @param body the body in bytes
 * @param model whether the upstream is a model engine, which must echo the attempt
 * identifier
 * @param streamed whether a stream of events is asked for
 * @param reusable whether a kept-alive connection may be used; only for idempotent
 * requests, because a stale one fails after bytes were handed over
 * @param notExecutedStatuses the statuses that declare that the request did not run
 * @param timeouts the bounds on time
 */
public record UpstreamRequest(HttpString method, String target, HeaderMap headers, byte[] body, boolean model,
		boolean streamed, boolean reusable, Set<Integer> notExecutedStatuses, Timeouts timeouts) {

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
