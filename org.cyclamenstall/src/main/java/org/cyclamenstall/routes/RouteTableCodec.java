package org.cyclamenstall.routes;

/**
 * Decodes the configuration of a deployment from its representation in the store.
 * Implementations are stateless and thread-safe.
 */
@FunctionalInterface
public interface RouteTableCodec {

	/**
	 * Decodes a configuration.
	 * @param value the stored value
	 * @return the route table
	 * @throws org.cyclamenstall.errors.RouterException of kind {@code CATALOGUE_INVALID}
	 * if the value is malformed
	 */
	RouteTable decode(byte[] value);

}
