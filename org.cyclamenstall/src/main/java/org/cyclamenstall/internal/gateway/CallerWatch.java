package org.cyclamenstall.internal.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Notices that a caller closed its connection, or its sending half, while its request
 * waits. Bytes of a pipelined request are put back. Used on the I/O thread of the
 * exchange, after the request was read whole.
 */
final class CallerWatch {

	private final HttpServerConnection connection;

	private final ConduitStreamSourceChannel source;

	private final Runnable left;

	private boolean stopped;

	private CallerWatch(HttpServerConnection connection, Runnable left) {
		this.connection = connection;
		this.source = connection.getChannel().getSourceChannel();
		this.left = left;
	}

	/**
	 * Starts to watch.
	 * @param exchange the exchange
	 * @param left is run once when the caller left
	 * @return the watch
	 */
	static CallerWatch start(HttpServerExchange exchange, Runnable left) {
		CallerWatch watch = new CallerWatch((HttpServerConnection) exchange.getConnection(), left);
		if (watch.connection.getExtraBytes() == null) {
			// The conduit of a body that was read to its end never wakes up again.
			watch.source.setConduit(watch.connection.getOriginalSourceConduit());
			watch.source.setReadListener((channel) -> watch.readable());
			watch.source.resumeReads();
		}
		return watch;
	}

	/**
	 * Stops watching; the connection is ready for its next request.
	 */
	void stop() {
		if (!this.stopped) {
			this.stopped = true;
			this.source.suspendReads();
		}
	}

	private void readable() {
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
			this.left.run();
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
