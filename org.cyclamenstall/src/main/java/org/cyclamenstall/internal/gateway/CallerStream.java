package org.cyclamenstall.internal.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes a stream of events to a caller as fast as it reads. Holds at most what one read
 * from the upstream brought: the listener is told to suspend the upstream until it is
 * written. Used on the I/O thread of the exchange.
 */
final class CallerStream {

	private final HttpServerExchange exchange;

	private final StreamSinkChannel channel;

	private final Listener listener;

	private final ByteArrayOutputStream incoming = new ByteArrayOutputStream();

	private ByteBuffer writing = ByteBuffer.allocate(0);

	private End end = End.OPEN;

	private boolean blocked;

	private boolean broken;

	CallerStream(HttpServerExchange exchange, Listener listener) {
		this.exchange = exchange;
		this.channel = exchange.getResponseChannel();
		this.listener = listener;
		this.channel.getWriteSetter().set((writable) -> writeAll());
	}

	/**
	 * Writes one event.
	 * @param event the event in bytes
	 */
	void event(byte[] event) {
		this.incoming.writeBytes(event);
		writeIfFree();
	}

	/**
	 * Ends the stream as whole.
	 * @param endMark the end mark in bytes
	 */
	void finish(byte[] endMark) {
		this.incoming.writeBytes(endMark);
		this.end = End.WHOLE;
		writeIfFree();
	}

	/**
	 * Ends the stream with an error event, and the connection without its last chunk, so
	 * that it never looks whole.
	 * @param errorEvent the event in bytes
	 */
	void fail(byte[] errorEvent) {
		this.incoming.writeBytes(errorEvent);
		this.end = End.CUT;
		writeIfFree();
	}

	private void writeIfFree() {
		if (!this.blocked && !this.broken) {
			writeAll();
		}
	}

	private void writeAll() {
		try {
			if (!writePending()) {
				block();
				return;
			}
			if (this.end == End.OPEN) {
				unblock();
				return;
			}
			close();
		}
		catch (IOException ex) {
			this.broken = true;
			IoUtils.safeClose(this.exchange.getConnection());
			this.listener.broken();
		}
	}

	private boolean writePending() throws IOException {
		while (this.writing.hasRemaining() || this.incoming.size() > 0) {
			if (!this.writing.hasRemaining()) {
				this.writing = ByteBuffer.wrap(this.incoming.toByteArray());
				this.incoming.reset();
			}
			if (this.channel.write(this.writing) == 0) {
				return false;
			}
		}
		return this.channel.flush();
	}

	private void block() {
		if (!this.blocked) {
			this.blocked = true;
			this.listener.blocked();
		}
		this.channel.resumeWrites();
	}

	private void unblock() {
		this.channel.suspendWrites();
		if (this.blocked) {
			this.blocked = false;
			this.listener.drained();
		}
	}

	private void close() {
		this.channel.suspendWrites();
		if (this.end == End.CUT) {
			IoUtils.safeClose(this.exchange.getConnection());
		}
		else {
			this.exchange.endExchange();
		}
	}

	/**
	 * Is told of the pace of the caller.
	 */
	interface Listener {

		/**
		 * Asks to suspend the upstream.
		 */
		void blocked();

		/**
		 * Asks to go on reading from the upstream.
		 */
		void drained();

		/**
		 * Reports that the caller cannot be reached any more.
		 */
		void broken();

	}

	/**
	 * Lists how a stream ends.
	 */
	private enum End {

		OPEN, WHOLE, CUT

	}

}
