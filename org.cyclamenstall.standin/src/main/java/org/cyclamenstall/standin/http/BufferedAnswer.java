package org.cyclamenstall.standin.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

import io.undertow.server.HttpServerExchange;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes an answer in parts without blocking. Parts are queued until the connection takes
 * them. Thread-safe: all work is done on the I/O thread of the request.
 */
public final class BufferedAnswer {

	private final HttpServerExchange exchange;

	private final Runnable onFailure;

	private final Deque<ByteBuffer> parts = new ArrayDeque<>();

	private @Nullable StreamSinkChannel channel;

	private boolean ending;

	private boolean aborting;

	private boolean done;

	/**
	 * Creates an answer.
	 * @param exchange the request, which is dispatched
	 * @param onFailure called on the I/O thread when the connection fails
	 */
	public BufferedAnswer(HttpServerExchange exchange, Runnable onFailure) {
		this.exchange = exchange;
		this.onFailure = onFailure;
	}

	/**
	 * Adds a part.
	 * @param part the bytes
	 */
	public void write(byte[] part) {
		this.exchange.getIoThread().execute(() -> {
			this.parts.add(ByteBuffer.wrap(part));
			flush();
		});
	}

	/**
	 * Ends the answer after the parts added before.
	 */
	public void end() {
		this.exchange.getIoThread().execute(() -> {
			this.ending = true;
			flush();
		});
	}

	/**
	 * Closes the connection after the parts added before, without ending the answer.
	 */
	public void abort() {
		this.exchange.getIoThread().execute(() -> {
			this.aborting = true;
			flush();
		});
	}

	private void flush() {
		if (this.done) {
			return;
		}
		try {
			writeParts(openChannel());
		}
		catch (IOException ex) {
			this.done = true;
			IoUtils.safeClose(this.exchange.getConnection());
			this.onFailure.run();
		}
	}

	private StreamSinkChannel openChannel() {
		StreamSinkChannel open = this.channel;
		if (open == null) {
			open = this.exchange.getResponseChannel();
			open.getWriteSetter().set((ready) -> flush());
			this.channel = open;
		}
		return open;
	}

	private void writeParts(StreamSinkChannel open) throws IOException {
		for (ByteBuffer part = this.parts.peek(); part != null; part = this.parts.peek()) {
			if (part.hasRemaining() && open.write(part) == 0) {
				open.resumeWrites();
				return;
			}
			if (!part.hasRemaining()) {
				this.parts.remove();
			}
		}
		if (this.ending) {
			open.shutdownWrites();
		}
		if (!open.flush()) {
			open.resumeWrites();
			return;
		}
		open.suspendWrites();
		this.done = this.ending || this.aborting;
		if (this.aborting && !this.ending) {
			IoUtils.safeClose(this.exchange.getConnection());
		}
	}

}
