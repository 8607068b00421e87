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
	 * Finds a TCP port that is currently free. Another process may bind it before the
	 * caller does.
	 * @param address the IP address
	 * @return the port number
	 */
	static int find(String address) {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
			return socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
