package org.cyclamenstall.internal.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes an event stream to a caller without blocking. While the caller does not read
 * fast enough, the listener suspends the upstream, so at most the data of one upstream
 * read is buffered. Used on the I/O thread of the exchange.
 */
final class CallerStream {

	private final HttpServerExchange exchange;

	private final StreamSinkChannel channel;

	private final Listener listener;

	private final ByteArrayOutputStream queued = new ByteArrayOutputStream();

	private ByteBuffer writeBuffer = ByteBuffer.allocate(0);

	private State state = State.OPEN;

	private boolean blocked;

	private boolean disconnected;

	CallerStream(HttpServerExchange exchange, Listener listener) {
		this.exchange = exchange;
		this.channel = exchange.getResponseChannel();
		this.listener = listener;
		this.channel.getWriteSetter().set((writable) -> writeAll());
	}

	/**
	 * Writes one event.
	 * @param event the encoded event
	 */
	void writeEvent(byte[] event) {
		this.queued.writeBytes(event);
		writeIfUnblocked();
	}

	/**
	 * Ends a complete stream.
	 * @param endMarker the encoded end marker, empty if the protocol has none
	 */
	void finish(byte[] endMarker) {
		this.queued.writeBytes(endMarker);
		this.state = State.COMPLETE;
		writeIfUnblocked();
	}

	/**
	 * Writes an error event and closes the connection without the last chunk, so that the
	 * caller detects the truncated stream.
	 * @param errorEvent the encoded event, empty if the protocol has none
	 */
	void fail(byte[] errorEvent) {
		this.queued.writeBytes(errorEvent);
		this.state = State.INTERRUPTED;
		writeIfUnblocked();
	}

	private void writeIfUnblocked() {
		if (!this.blocked && !this.disconnected) {
			writeAll();
		}
	}

	private void writeAll() {
		try {
			if (!writePending()) {
				block();
				return;
			}
			if (this.state == State.OPEN) {
				unblock();
				return;
			}
			close();
		}
		catch (IOException ex) {
			this.disconnected = true;
			IoUtils.safeClose(this.exchange.getConnection());
			this.listener.onDisconnected();
		}
	}

	private boolean writePending() throws IOException {
		while (this.writeBuffer.hasRemaining() || this.queued.size() > 0) {
			if (!this.writeBuffer.hasRemaining()) {
				this.writeBuffer = ByteBuffer.wrap(this.queued.toByteArray());
				this.queued.reset();
			}
			if (this.channel.write(this.writeBuffer) == 0) {
				return false;
			}
		}
		return this.channel.flush();
	}

	private void block() {
		if (!this.blocked) {
			this.blocked = true;
			this.listener.onBlocked();
		}
		this.channel.resumeWrites();
	}

	private void unblock() {
		this.channel.suspendWrites();
		if (this.blocked) {
			this.blocked = false;
			this.listener.onDrained();
		}
	}

	private void close() {
		this.channel.suspendWrites();
		if (this.state == State.INTERRUPTED) {
			CallerConnections.abort(this.exchange);
		}
		else {
			this.exchange.endExchange();
		}
	}

	/**
	 * Receives the state changes of the caller connection.
	 */
	interface Listener {

		/**
		 * Called when the caller reads too slowly and data waits to be written.
		 */
		void onBlocked();

		/**
		 * Called when all waiting data has been written.
		 */
		void onDrained();

		/**
		 * Called when the connection to the caller was lost.
		 */
		void onDisconnected();

	}

	/**
	 * States of the stream. The last two are set while data may still wait to be written.
	 */
	private enum State {

		OPEN, COMPLETE, INTERRUPTED

	}

}
