package org.cyclamenstall.internal.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the body of a buffered response as the caller reads it, and ends the exchange. A
 * long body is written in copied parts: the server keeps the buffer that it wrote last on
 * each connection until the next response, and with it the array behind it.
 * <p>
 * Invariant: after the exchange, at most {@link #PART_BYTES} of the body are kept. Used
 * on the I/O thread of the exchange.
 */
public final class CallerBodyWriter {

	private static final int PART_BYTES = 16_384;

	private final ByteBuffer part = ByteBuffer.allocate(PART_BYTES).limit(0);

	private final HttpServerExchange exchange;

	private final StreamSinkChannel channel;

	private byte[] body;

	private int position;

	private CallerBodyWriter(HttpServerExchange exchange, byte[] body) {
		this.exchange = exchange;
		this.channel = exchange.getResponseChannel();
		this.body = body;
	}

	/**
	 * Writes a body. The status and headers must be set, and are not changed except for
	 * the length.
	 * @param exchange the exchange
	 * @param body the body in bytes
	 */
	public static void write(HttpServerExchange exchange, byte[] body) {
		if (body.length <= PART_BYTES) {
			exchange.getResponseSender().send(ByteBuffer.wrap(body));
			return;
		}
		exchange.setResponseContentLength(body.length);
		new CallerBodyWriter(exchange, body).start();
	}

	private void start() {
		this.channel.getWriteSetter().set((writable) -> writeAvailable());
		writeAvailable();
	}

	private void writeAvailable() {
		try {
			if (!writeParts()) {
				this.channel.resumeWrites();
				return;
			}
			this.channel.suspendWrites();
			this.body = new byte[0];
			this.exchange.endExchange();
		}
		catch (IOException ex) {
			// The caller has disconnected.
			IoUtils.safeClose(this.exchange.getConnection());
		}
	}

	private boolean writeParts() throws IOException {
		while (this.part.hasRemaining() || this.position < this.body.length) {
			if (!this.part.hasRemaining()) {
				copyNextPart();
			}
			if (this.channel.write(this.part) == 0) {
				return false;
			}
		}
		return true;
	}

	private void copyNextPart() {
		int count = Math.min(PART_BYTES, this.body.length - this.position);
		this.part.clear().put(this.body, this.position, count).flip();
		this.position += count;
	}

}
