package org.cyclamenstall.internal.peers;

import java.util.function.LongConsumer;

import org.apache.thrift.TConfiguration;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;

/**
 * Counts the bytes that pass through a transport. Not thread-safe.
 */
final class CountingTransport extends TTransport {

	private final TTransport inner;

	private final LongConsumer sent;

	private final LongConsumer received;

	CountingTransport(TTransport inner, LongConsumer sent, LongConsumer received) {
		this.inner = inner;
		this.sent = sent;
		this.received = received;
	}

	@Override
	public boolean isOpen() {
		return this.inner.isOpen();
	}

	@Override
	public void open() throws TTransportException {
		this.inner.open();
	}

	@Override
	public void close() {
		this.inner.close();
	}

	@Override
	public int read(byte[] buffer, int offset, int length) throws TTransportException {
		int count = this.inner.read(buffer, offset, length);
		this.received.accept(Math.max(0, count));
		return count;
	}

	@Override
	public void write(byte[] buffer, int offset, int length) throws TTransportException {
		this.inner.write(buffer, offset, length);
		this.sent.accept(length);
	}

	@Override
	public void flush() throws TTransportException {
		this.inner.flush();
	}

	@Override
	public TConfiguration getConfiguration() {
		return this.inner.getConfiguration();
	}

	@Override
	public void updateKnownMessageSize(long size) throws TTransportException {
		this.inner.updateKnownMessageSize(size);
	}

	@Override
	public void checkReadBytesAvailable(long count) throws TTransportException {
		this.inner.checkReadBytesAvailable(count);
	}

}
