package org.cyclamenstall.standin.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Finds free TCP ports. Stateless and thread-safe.
 */
final class FreePort {

	private FreePort() {
	}

	/**
	 * Finds a port that is free now.
	 * @param address the IP number
	 * @return the port
	 */
	static int on(String address) {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
			return socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
