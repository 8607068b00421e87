package org.cyclamenstall.internal.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Detects that a caller closed its connection, or the sending half of it, while its
 * request is processed. The two cannot be told apart, so a caller that ends its sending
 * half counts as disconnected. Bytes of a pipelined request are pushed back to the
 * connection and end the monitoring. Used on the I/O thread of the exchange, after the
 * request was read completely.
 */
final class CallerDisconnectDetector {

	private final HttpServerConnection connection;

	private final ConduitStreamSourceChannel source;

	private final Runnable onDisconnect;

	private boolean stopped;

	private CallerDisconnectDetector(HttpServerConnection connection, Runnable onDisconnect) {
		this.connection = connection;
		this.source = connection.getChannel().getSourceChannel();
		this.onDisconnect = onDisconnect;
	}

	/**
	 * Starts monitoring the connection, unless bytes of a pipelined request were already
	 * read.
	 * @param exchange the exchange
	 * @param onDisconnect called at most once, when the caller disconnects
	 * @return the detector
	 */
	static CallerDisconnectDetector start(HttpServerExchange exchange, Runnable onDisconnect) {
		CallerDisconnectDetector detector = new CallerDisconnectDetector(
				(HttpServerConnection) exchange.getConnection(), onDisconnect);
		if (detector.connection.getExtraBytes() == null) {
			// The conduit of a fully read body reports no further read events.
			detector.source.setConduit(detector.connection.getOriginalSourceConduit());
			detector.source.setReadListener((channel) -> detector.onReadable());
			detector.source.resumeReads();
		}
		return detector;
	}

	/**
	 * Stops monitoring, so that the connection can serve its next request.
	 */
	void stop() {
		if (!this.stopped) {
			this.stopped = true;
			this.source.suspendReads();
		}
	}

	private void onReadable() {
		if (this.stopped) {
			return;
		}
		PooledByteBuffer pooled = this.connection.getByteBufferPool().allocate();
		int count = read(pooled.getBuffer());
		if (count > 0) {
			pooled.getBuffer().flip();
			this.connection.ungetRequestBytes(pooled);
			stop();
			return;
		}
		pooled.close();
		if (count < 0) {
			stop();
			this.onDisconnect.run();
		}
	}

	private int read(ByteBuffer buffer) {
		try {
			return this.source.read(buffer);
		}
		catch (IOException ex) {
			return -1;
		}
	}

}
