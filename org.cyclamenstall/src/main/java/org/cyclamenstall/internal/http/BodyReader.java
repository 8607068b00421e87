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
 * Reads the body of a response up to a maximum size. Used on one I/O thread.
 */
final class BodyReader implements ChannelListener<StreamSourceChannel> {

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	private final ByteBufferPool pool;

	private final int maximumBytes;

	private final Consumer<byte[]> onCompleted;

	private final Consumer<IOException> onFailure;

	/**
	 * Creates a reader.
	 * @param pool the buffer pool
	 * @param maximumBytes the maximum size of the body, in bytes
	 * @param onCompleted called with the complete body
	 * @param onFailure called with the cause if the body is truncated or too large
	 */
	BodyReader(ByteBufferPool pool, int maximumBytes, Consumer<byte[]> onCompleted, Consumer<IOException> onFailure) {
		this.pool = pool;
		this.maximumBytes = maximumBytes;
		this.onCompleted = onCompleted;
		this.onFailure = onFailure;
	}

	@Override
	public void handleEvent(StreamSourceChannel channel) {
		try (PooledByteBuffer pooled = this.pool.allocate()) {
			readAvailable(channel, pooled.getBuffer());
		}
		catch (IOException ex) {
			channel.suspendReads();
			this.onFailure.accept(ex);
		}
	}

	private void readAvailable(StreamSourceChannel channel, ByteBuffer buffer) throws IOException {
		int count = channel.read(buffer);
		while (count > 0) {
			append(buffer);
			count = channel.read(buffer);
		}
		if (count < 0) {
			this.onCompleted.accept(this.bytes.toByteArray());
			return;
		}
		channel.getReadSetter().set(this);
		channel.resumeReads();
	}

	private void append(ByteBuffer buffer) throws IOException {
		buffer.flip();
		if (this.bytes.size() + buffer.remaining() > this.maximumBytes) {
			throw new IOException("the response exceeds " + this.maximumBytes + " bytes");
		}
		byte[] chunk = new byte[buffer.remaining()];
		buffer.get(chunk);
		this.bytes.write(chunk, 0, chunk.length);
		buffer.clear();
	}

}
