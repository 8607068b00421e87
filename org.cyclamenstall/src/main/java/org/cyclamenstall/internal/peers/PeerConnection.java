package org.cyclamenstall.internal.peers;

import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.cyclamenstall.wire.PeerService;
import org.jspecify.annotations.Nullable;

/**
 * Keeps a connection to a peer open between calls. A call that fails on a reused
 * connection for a reason other than a timeout, for example because the peer has closed
 * it, is retried once on a new connection; all calls of the protocol are idempotent.
 * Connect and read have timeouts. Thread-safe; calls are serialized, and {@link #close()}
 * aborts a call in progress.
 */
final class PeerConnection implements AutoCloseable {

	private final int timeoutMillis;

	private final PeerMetrics metrics;

	private @Nullable volatile TTransport transport;

	private @Nullable PeerEndpoint endpoint;

	private volatile boolean closed;

	PeerConnection(int timeoutMillis, PeerMetrics metrics) {
		this.timeoutMillis = timeoutMillis;
		this.metrics = metrics;
	}

	/**
	 * Calls the peer, connecting first if necessary.
	 * @param <T> the response type
	 * @param target the endpoint of the peer
	 * @param call the call
	 * @return the response
	 * @throws TException if the peer does not respond or rejects the call
	 */
	synchronized <T> T call(PeerEndpoint target, PeerCall<T> call) throws TException {
		boolean reused = this.transport != null && target.equals(this.endpoint);
		try {
			return callOnce(target, call);
		}
		catch (TTransportException ex) {
			if (!reused || ex.getType() == TTransportException.TIMED_OUT) {
				throw ex;
			}
			return callOnce(target, call);
		}
	}

	@Override
	public void close() {
		this.closed = true;
		disconnect();
	}

	private <T> T callOnce(PeerEndpoint target, PeerCall<T> call) throws TException {
		try {
			return call.apply(new PeerService.Client(new TCompactProtocol(connect(target))));
		}
		catch (TException ex) {
			disconnect();
			throw ex;
		}
	}

	private TTransport connect(PeerEndpoint target) throws TTransportException {
		if (this.closed) {
			throw new TTransportException(TTransportException.NOT_OPEN, "the connection is closed");
		}
		TTransport current = this.transport;
		if (current != null && target.equals(this.endpoint)) {
			return current;
		}
		disconnect();
		TSocket socket = new TSocket(TConfiguration.DEFAULT, target.address(), target.port(), this.timeoutMillis,
				this.timeoutMillis);
		TTransport counting = new CountingTransport(socket, this.metrics::recordSentBytes,
				this.metrics::recordReceivedBytes);
		TTransport framed = new TFramedTransport(counting);
		this.transport = framed;
		this.endpoint = target;
		framed.open();
		if (this.closed) {
			disconnect();
		}
		return framed;
	}

	private void disconnect() {
		TTransport current = this.transport;
		this.transport = null;
		if (current != null) {
			current.close();
		}
	}

	/**
	 * Calls one method of the peer protocol.
	 *
	 * @param <T> the response type
	 */
	@FunctionalInterface
	interface PeerCall<T> {

		T apply(PeerService.Iface client) throws TException;

	}

}
