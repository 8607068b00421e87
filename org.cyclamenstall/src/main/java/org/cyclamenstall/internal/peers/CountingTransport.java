package org.cyclamenstall.internal.peers;

import java.util.function.LongConsumer;

import org.apache.thrift.TConfiguration;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;

/**
 * Counts the bytes that are sent and received through another transport. Not thread-safe.
 */
final class CountingTransport extends TTransport {

	private final TTransport delegate;

	private final LongConsumer sentByteCounter;

	private final LongConsumer receivedByteCounter;

	CountingTransport(TTransport delegate, LongConsumer sentByteCounter, LongConsumer receivedByteCounter) {
		this.delegate = delegate;
		this.sentByteCounter = sentByteCounter;
		this.receivedByteCounter = receivedByteCounter;
	}

	@Override
	public boolean isOpen() {
		return this.delegate.isOpen();
	}

	@Override
	public void open() throws TTransportException {
		this.delegate.open();
	}

	@Override
	public void close() {
		this.delegate.close();
	}

	@Override
	public int read(byte[] buffer, int offset, int length) throws TTransportException {
		int count = this.delegate.read(buffer, offset, length);
		this.receivedByteCounter.accept(Math.max(0, count));
		return count;
	}

	@Override
	public void write(byte[] buffer, int offset, int length) throws TTransportException {
		this.delegate.write(buffer, offset, length);
		this.sentByteCounter.accept(length);
	}

	@Override
	public void flush() throws TTransportException {
		this.delegate.flush();
	}

	@Override
	public TConfiguration getConfiguration() {
		return this.delegate.getConfiguration();
	}

	@Override
	public void updateKnownMessageSize(long size) throws TTransportException {
		this.delegate.updateKnownMessageSize(size);
	}

	@Override
	public void checkReadBytesAvailable(long count) throws TTransportException {
		this.delegate.checkReadBytesAvailable(count);
	}

}
