package org.cyclamenstall.internal.gateway;

/**
 * Request whose headers were accepted and whose body is still to be read. Used on the I/O
 * thread of the exchange.
 */
public interface AcceptedRequest {

	/**
	 * Returns the maximum size of the body.
	 * @return the size in bytes
	 */
	int maximumBodyBytes();

	/**
	 * Validates the request with its body.
	 * @param body the body in bytes; must not be changed afterwards
	 * @return the validated request
	 * @throws org.cyclamenstall.errors.RouterException if the request is refused
	 */
	CallerRequest withBody(byte[] body);

}
