package org.cyclamenstall.routes;

/**
 * Decodes the configuration of a deployment from the form in which its store holds it.
 * Stateless and thread-safe.
 */
@FunctionalInterface
public interface RouteTableCodec {

	/**
	 * Decodes a configuration.
	 * @param value the value in bytes
	 * @return the routes
	 * @throws org.cyclamenstall.errors.RouterException of kind {@code CATALOGUE_INVALID}
	 * if the value cannot be read
	 */
	RouteTable decode(byte[] value);

}
