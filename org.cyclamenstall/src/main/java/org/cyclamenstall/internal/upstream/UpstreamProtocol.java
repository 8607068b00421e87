package org.cyclamenstall.internal.upstream;

import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;

/**
 * Speaks with the upstreams of one request. Stateless and thread-safe.
 */
public interface UpstreamProtocol {

	/**
	 * Builds the head of an attempt's request.
	 * @param request the request, the same for all attempts
	 * @param target what is particular to this attempt
	 * @return the head
	 */
	ClientRequest head(UpstreamRequest request, AttemptTarget target);

	/**
	 * Reads the head of an answer.
	 * @param request the request
	 * @param target the attempt that it answers
	 * @param response the answer
	 * @return the head
	 */
	AnswerHead read(UpstreamRequest request, AttemptTarget target, ClientResponse response);

	/**
	 * Returns whether an answer without a length may end with its connection.
	 * @return {@code true} if a closed connection, other than a reset one, proves the end
	 */
	boolean provesEndByClose();

	/**
	 * Checks a whole answer.
	 * @param target the attempt that it answers
	 * @param head the head of the answer
	 * @param body the body in bytes
	 * @return the answer as the caller gets it
	 * @throws InvalidAnswerException if it must not be relayed
	 */
	WholeAnswer check(AttemptTarget target, AnswerHead head, byte[] body);

	/**
	 * Returns a parser for the stream of an attempt.
	 * @param target the attempt
	 * @return the parser
	 */
	StreamParser newStreamParser(AttemptTarget target);

}
