package org.cyclamenstall.internal.gateway;

/**
 * Stands for a request whose head was read and accepted. Used on the I/O thread of the
 * exchange.
 */
public interface ArrivedRequest {

	/**
	 * Returns the largest body that is accepted.
	 * @return the bound in bytes
	 */
	int maximumBodyBytes();

	/**
	 * Checks the request with its body.
	 * @param body the body in bytes; not changed later
	 * @return the checked request
	 * @throws org.cyclamenstall.errors.RouterException if the request is refused
	 */
	CallerRequest withBody(byte[] body);

}
