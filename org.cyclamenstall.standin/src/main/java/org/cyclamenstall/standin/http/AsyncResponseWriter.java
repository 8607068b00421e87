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
 * Writes a response in chunks without blocking. Chunks are queued until the connection is
 * writable. Thread-safe: all operations run on the I/O thread of the request.
 */
public final class AsyncResponseWriter {

	private final HttpServerExchange exchange;

	private final Runnable onFailure;

	private final Deque<ByteBuffer> chunks = new ArrayDeque<>();

	private @Nullable StreamSinkChannel channel;

	private boolean ending;

	private boolean aborting;

	private boolean finished;

	/**
	 * Creates a writer of one response.
	 * @param exchange the exchange, which must have been dispatched
	 * @param onFailure called on the I/O thread if writing to the connection fails
	 */
	public AsyncResponseWriter(HttpServerExchange exchange, Runnable onFailure) {
		this.exchange = exchange;
		this.onFailure = onFailure;
	}

	/**
	 * Queues a chunk.
	 * @param chunk the bytes
	 */
	public void write(byte[] chunk) {
		this.exchange.getIoThread().execute(() -> {
			this.chunks.add(ByteBuffer.wrap(chunk));
			flush();
		});
	}

	/**
	 * Completes the response after all queued chunks have been written.
	 */
	public void end() {
		this.exchange.getIoThread().execute(() -> {
			this.ending = true;
			flush();
		});
	}

	/**
	 * Closes the connection after all queued chunks have been written, without completing
	 * the response.
	 */
	public void abort() {
		this.exchange.getIoThread().execute(() -> {
			this.aborting = true;
			flush();
		});
	}

	private void flush() {
		if (this.finished) {
			return;
		}
		try {
			writeChunks(openChannel());
		}
		catch (IOException ex) {
			this.finished = true;
			IoUtils.safeClose(this.exchange.getConnection());
			this.onFailure.run();
		}
	}

	private StreamSinkChannel openChannel() {
		StreamSinkChannel responseChannel = this.channel;
		if (responseChannel == null) {
			responseChannel = this.exchange.getResponseChannel();
			responseChannel.getWriteSetter().set((ready) -> flush());
			this.channel = responseChannel;
		}
		return responseChannel;
	}

	private void writeChunks(StreamSinkChannel responseChannel) throws IOException {
		for (ByteBuffer chunk = this.chunks.peek(); chunk != null; chunk = this.chunks.peek()) {
			if (chunk.hasRemaining() && responseChannel.write(chunk) == 0) {
				responseChannel.resumeWrites();
				return;
			}
			if (!chunk.hasRemaining()) {
				this.chunks.remove();
			}
		}
		if (this.ending) {
			responseChannel.shutdownWrites();
		}
		if (!responseChannel.flush()) {
			responseChannel.resumeWrites();
			return;
		}
		responseChannel.suspendWrites();
		this.finished = this.ending || this.aborting;
		if (this.aborting && !this.ending) {
			IoUtils.safeClose(this.exchange.getConnection());
		}
	}

}
