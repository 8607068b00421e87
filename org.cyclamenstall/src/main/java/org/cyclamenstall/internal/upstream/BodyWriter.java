package org.cyclamenstall.internal.upstream;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the body of a request at the pace of its connection. Used on one I/O thread.
 */
final class BodyWriter {

	private final StreamSinkChannel channel;

	private final ByteBuffer body;

	private final Consumer<IOException> failed;

	private boolean shut;

	private boolean complete;

	BodyWriter(StreamSinkChannel channel, byte[] body, Consumer<IOException> failed) {
		this.channel = channel;
		this.body = ByteBuffer.wrap(body);
		this.failed = failed;
	}

	/**
	 * Writes as much as the connection takes, and the rest when it is writable.
	 */
	void start() {
		this.channel.getWriteSetter().set((writable) -> write());
		write();
	}

	/**
	 * Returns whether the whole request was handed to the connection.
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
			this.failed.accept(ex);
		}
	}

	private boolean writeAll() throws IOException {
		while (this.body.hasRemaining()) {
			if (this.channel.write(this.body) == 0) {
				return false;
			}
		}
		if (!this.shut) {
			this.shut = true;
			this.channel.shutdownWrites();
		}
		return this.channel.flush();
	}

}
