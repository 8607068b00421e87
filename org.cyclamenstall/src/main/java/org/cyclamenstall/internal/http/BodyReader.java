package org.cyclamenstall.internal.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads a body of bounded length on an I/O thread. Used by that thread only.
 */
final class BodyReader implements ChannelListener<StreamSourceChannel> {

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	private final ByteBufferPool pool;

	private final int maximumBytes;

	private final Consumer<byte[]> completed;

	private final Consumer<IOException> failed;

	/**
	 * Creates a reader.
	 * @param pool the pool of buffers
	 * @param maximumBytes the longest body, in bytes
	 * @param completed called with the whole body
	 * @param failed called with the cause if the body is cut or too long
	 */
	BodyReader(ByteBufferPool pool, int maximumBytes, Consumer<byte[]> completed, Consumer<IOException> failed) {
		this.pool = pool;
		this.maximumBytes = maximumBytes;
		this.completed = completed;
		this.failed = failed;
	}

	@Override
	public void handleEvent(StreamSourceChannel channel) {
		try (PooledByteBuffer pooled = this.pool.allocate()) {
			readAvailable(channel, pooled.getBuffer());
		}
		catch (IOException ex) {
			channel.suspendReads();
			this.failed.accept(ex);
		}
	}

	private void readAvailable(StreamSourceChannel channel, ByteBuffer buffer) throws IOException {
		int count = channel.read(buffer);
		while (count > 0) {
			append(buffer);
			count = channel.read(buffer);
		}
		if (count < 0) {
			this.completed.accept(this.bytes.toByteArray());
			return;
		}
		channel.getReadSetter().set(this);
		channel.resumeReads();
	}

	private void append(ByteBuffer buffer) throws IOException {
		buffer.flip();
		if (this.bytes.size() + buffer.remaining() > this.maximumBytes) {
			throw new IOException("the answer exceeds " + this.maximumBytes + " bytes");
		}
		byte[] chunk = new byte[buffer.remaining()];
		buffer.get(chunk);
		this.bytes.write(chunk, 0, chunk.length);
		buffer.clear();
	}

}
