package org.cyclamenstall.standin.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicReference;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that the client closes the connection while a request is pending, and calls an
 * action when the connection is closed. HTTP pipelining is not supported: a further
 * request on the same connection closes it. Confined to the I/O thread of the request.
 */
public final class DisconnectListener {

	private static final AttachmentKey<AtomicReference<Runnable>> CLOSE_ACTION = AttachmentKey
		.create(AtomicReference.class);

	private final HttpServerExchange exchange;

	private final StreamSourceConduit source;

	private DisconnectListener(HttpServerExchange exchange, StreamSourceConduit source) {
		this.exchange = exchange;
		this.source = source;
	}

	/**
	 * Calls an action when the connection of an exchange is closed, also if that happens
	 * after the exchange is complete. Replaces the action of an earlier exchange on the
	 * same connection.
	 * @param exchange the exchange, whose request body must have been read
	 * @param onClose called on the I/O thread when the connection is closed
	 */
	public static void listen(HttpServerExchange exchange, Runnable onClose) {
		closeAction(exchange.getConnection()).set(onClose);
		if (exchange.getConnection() instanceof HttpServerConnection connection) {
			DisconnectListener listener = new DisconnectListener(exchange, connection.getOriginalSourceConduit());
			connection.getChannel().getSourceChannel().setReadListener((ready) -> listener.read());
			listener.source.resumeReads();
		}
	}

	private static AtomicReference<Runnable> closeAction(ServerConnection connection) {
		AtomicReference<Runnable> action = connection.getAttachment(CLOSE_ACTION);
		if (action == null) {
			AtomicReference<Runnable> created = new AtomicReference<>();
			connection.putAttachment(CLOSE_ACTION, created);
			connection.addCloseListener((closed) -> created.get().run());
			return created;
		}
		return action;
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
