package org.cyclamenstall.internal.upstream;

import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;

/**
 * Protocol between the daemon and the upstreams of one request: builds the headers of
 * each attempt, and classifies, parses and validates the responses. Immutable and
 * thread-safe.
 */
public interface UpstreamProtocol {

	/**
	 * Builds the method, path and headers of an attempt.
	 * @param request the request, the same for all attempts
	 * @param context the data of this attempt
	 * @return the request without its body
	 */
	ClientRequest buildRequest(UpstreamRequest request, AttemptContext context);

	/**
	 * Classifies the response by its status and headers.
	 * @param request the request
	 * @param context the attempt that was sent
	 * @param response the response
	 * @return the classified status and headers
	 */
	ResponseHead parseHead(UpstreamRequest request, AttemptContext context, ClientResponse response);

	/**
	 * Returns whether a response without a length may end when its connection is closed.
	 * @return {@code true} if an orderly close, as opposed to a reset, marks the end
	 */
	boolean allowsCloseDelimitedBody();

	/**
	 * Validates a buffered response.
	 * @param context the attempt that was sent
	 * @param responseHead the status and headers of the response
	 * @param body the body in bytes
	 * @return the response to send to the caller
	 * @throws InvalidResponseException if the response must not be relayed
	 */
	BufferedResponse validate(AttemptContext context, ResponseHead responseHead, byte[] body);

	/**
	 * Creates a parser for the stream of an attempt.
	 * @param context the attempt that was sent
	 * @return the parser
	 */
	StreamParser newStreamParser(AttemptContext context);

}
