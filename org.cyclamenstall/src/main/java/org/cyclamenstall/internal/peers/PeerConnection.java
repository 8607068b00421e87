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
 * Keeps one connection to a peer open between calls. A call on a connection that the peer
 * closed meanwhile is made once more on a new one; every call of the protocol is
 * idempotent. Connecting and reading are bounded in time. Thread-safe; calls wait for
 * each other, and closing ends a call that waits for the peer.
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
	 * Makes a call.
	 * @param <T> the type of answer
	 * @param target where the peer listens
	 * @param call the call
	 * @return the answer
	 * @throws TException if the peer is silent or refuses
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
			throw new TTransportException(TTransportException.NOT_OPEN, "closed");
		}
		TTransport current = this.transport;
		if (current != null && target.equals(this.endpoint)) {
			return current;
		}
		disconnect();
		TSocket socket = new TSocket(TConfiguration.DEFAULT, target.address(), target.port(), this.timeoutMillis,
				this.timeoutMillis);
		TTransport counting = new CountingTransport(socket, this.metrics::sent, this.metrics::received);
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
	 * Makes one call of the protocol.
	 *
	 * @param <T> the type of answer
	 */
	@FunctionalInterface
	interface PeerCall<T> {

		T apply(PeerService.Iface client) throws TException;

	}

}
