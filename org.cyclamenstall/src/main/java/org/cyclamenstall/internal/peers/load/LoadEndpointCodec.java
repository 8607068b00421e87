package org.cyclamenstall.internal.peers.load;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;

/**
 * Converts endpoints of daemons to their wire messages and back. Stateless and
 * thread-safe.
 */
public final class LoadEndpointCodec {

	private LoadEndpointCodec() {
	}

	/**
	 * Converts an endpoint to its message.
	 * @param endpoint the endpoint
	 * @return the message
	 */
	public static org.cyclamenstall.wire.LoadEndpoint toWire(LoadEndpoint endpoint) {
		org.cyclamenstall.wire.LoadEndpoint message = new org.cyclamenstall.wire.LoadEndpoint(
				ByteBuffer.wrap(endpoint.address().getAddress().getAddress()), endpoint.address().getPort());
		message.setFailureDomain(endpoint.failureDomain());
		return message;
	}

	/**
	 * Converts a message to the endpoint.
	 * @param message the message
	 * @return the endpoint
	 * @throws UnknownHostException if the address has an illegal length
	 * @throws IllegalArgumentException if the port is out of range
	 */
	public static LoadEndpoint fromWire(org.cyclamenstall.wire.LoadEndpoint message) throws UnknownHostException {
		InetAddress address = InetAddress.getByAddress(message.getAddress());
		return new LoadEndpoint(new InetSocketAddress(address, message.getPort()),
				message.isSetFailureDomain() ? message.getFailureDomain() : "");
	}

}
