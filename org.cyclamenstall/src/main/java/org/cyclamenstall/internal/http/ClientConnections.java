package org.cyclamenstall.internal.http;

import java.io.IOException;

import io.undertow.client.ClientConnection;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/**
 * Closes client connections. Stateless; each call is made on the I/O thread of the
 * connection.
 */
public final class ClientConnections {

	private ClientConnections() {
	}

	/**
	 * Closes both directions of a connection at once. {@link ClientConnection#close()}
	 * closes only the sending direction and then reads for up to ten seconds, during
	 * which the server can continue to work on a request that was cancelled, or send
	 * bytes without end.
	 * @param connection the connection, or {@code null} to do nothing
	 */
	public static void abort(@Nullable ClientConnection connection) {
		if (connection == null) {
			return;
		}
		try {
			IoUtils.safeClose(connection.performUpgrade());
		}
		catch (IOException ex) {
			// The connection is already closed.
			IoUtils.safeClose(connection);
		}
	}

}
