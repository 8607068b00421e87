package org.cyclamenstall.internal.peers;

import java.net.InetSocketAddress;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TServer;
import org.apache.thrift.server.TThreadedSelectorServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.wire.PeerService;

/**
 * Serves the calls of the peers on the peer port, with a fixed number of threads and a
 * bounded queue. The total size of the frames being read is limited. Thread-safe.
 */
final class PeerServer implements AutoCloseable {

	private static final int WORKER_THREADS = 4;

	private static final int QUEUE_CAPACITY = 1_024;

	private static final long MAXIMUM_READ_BUFFER_BYTES = 32L * 1_024 * 1_024;

	private static final int STOP_TIMEOUT_SECONDS = 1;

	private final TNonblockingServerSocket socket;

	private final ThreadPoolExecutor workers;

	private final TServer server;

	private final Thread serverThread;

	PeerServer(String address, int port, PeerService.Iface handler) {
		this.socket = bind(address, port);
		this.workers = new ThreadPoolExecutor(WORKER_THREADS, WORKER_THREADS, 1, TimeUnit.MINUTES,
				new LinkedBlockingQueue<>(QUEUE_CAPACITY), new NamedThreadFactory("peer-server"));
		TThreadedSelectorServer.Args args = new TThreadedSelectorServer.Args(this.socket).selectorThreads(1)
			.executorService(this.workers)
			.stopTimeoutUnit(TimeUnit.SECONDS)
			.stopTimeoutVal(STOP_TIMEOUT_SECONDS)
			.transportFactory(new TFramedTransport.Factory())
			.protocolFactory(new TCompactProtocol.Factory())
			.processor(new PeerService.Processor<>(handler));
		args.maxReadBufferBytes = MAXIMUM_READ_BUFFER_BYTES;
		this.server = new TThreadedSelectorServer(args);
		this.serverThread = new NamedThreadFactory("peer-accept").newThread(this.server::serve);
	}

	int port() {
		return this.socket.getPort();
	}

	void start() {
		this.serverThread.start();
	}

	@Override
	public void close() {
		this.server.stop();
		this.socket.close();
		this.workers.shutdownNow();
	}

	private static TNonblockingServerSocket bind(String address, int port) {
		try {
			return new TNonblockingServerSocket(new InetSocketAddress(address, port));
		}
		catch (TTransportException ex) {
			throw new RouterException(ErrorKind.SETTINGS_INVALID,
					"peers: cannot listen on " + address + " port " + port, ex);
		}
	}

}
