package org.cyclamenstall.internal.upstream;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the body of a request without blocking. Used on one I/O thread.
 */
final class BodyWriter {

	private final StreamSinkChannel channel;

	private final ByteBuffer body;

	private final Consumer<IOException> onFailure;

	private boolean writesShutDown;

	private boolean complete;

	BodyWriter(StreamSinkChannel channel, byte[] body, Consumer<IOException> onFailure) {
		this.channel = channel;
		this.body = ByteBuffer.wrap(body);
		this.onFailure = onFailure;
	}

	/**
	 * Writes as much as the connection accepts, and the rest whenever it is writable.
	 */
	void start() {
		this.channel.getWriteSetter().set((writable) -> write());
		write();
	}

	/**
	 * Returns whether the body was written and flushed completely.
	 * @return {@code true} once nothing is left to write
	 */
	boolean isComplete() {
		return this.complete;
	}

	private void write() {
		try {
			this.complete = writeAll();
			if (this.complete) {
				this.channel.suspendWrites();
			}
			else {
				this.channel.resumeWrites();
			}
		}
		catch (IOException ex) {
			this.onFailure.accept(ex);
		}
	}

	private boolean writeAll() throws IOException {
		while (this.body.hasRemaining()) {
			if (this.channel.write(this.body) == 0) {
				return false;
			}
		}
		if (!this.writesShutDown) {
			this.writesShutDown = true;
			this.channel.shutdownWrites();
		}
		return this.channel.flush();
	}

}
