package org.cyclamenstall.standin.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Notices that the peer closed its connection while a request waits for its answer. Bytes
 * of a next request on the same connection are not expected and close it. Confined to the
 * I/O thread of the request.
 */
public final class DisconnectListener {

	private final HttpServerExchange exchange;

	private final ConduitStreamSourceChannel source;

	private DisconnectListener(HttpServerExchange exchange, ConduitStreamSourceChannel source) {
		this.exchange = exchange;
		this.source = source;
	}

	/**
	 * Listens until the request ends.
	 * @param exchange the request, whose body was read
	 * @param onClose called on the I/O thread when the peer closed the connection
	 */
	public static void listen(HttpServerExchange exchange, Runnable onClose) {
		exchange.getConnection().addCloseListener((connection) -> onClose.run());
		if (exchange.getConnection() instanceof HttpServerConnection connection) {
			DisconnectListener listener = new DisconnectListener(exchange, connection.getChannel().getSourceChannel());
			listener.source.getReadSetter().set((ready) -> listener.read());
			listener.source.resumeReads();
		}
	}

	private void read() {
		if (this.exchange.isComplete()) {
			this.source.suspendReads();
			return;
		}
		try {
			int count = this.source.read(ByteBuffer.allocate(1));
			if (count != 0) {
				IoUtils.safeClose(this.exchange.getConnection());
			}
		}
		catch (IOException ex) {
			IoUtils.safeClose(this.exchange.getConnection());
		}
	}

}
