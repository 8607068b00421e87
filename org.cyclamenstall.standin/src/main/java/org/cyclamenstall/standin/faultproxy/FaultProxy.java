package org.cyclamenstall.standin.faultproxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * TCP proxy that relays connections to one server and injects the faults of its rules.
 * The first matching rule that has not reached its maximum number of hits determines the
 * action on the received bytes. Thread-safe.
 */
public final class FaultProxy implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(FaultProxy.class);

	private static final int BACKLOG = 256;

	private static final int CONNECT_TIMEOUT_MILLIS = 10_000;

	private final InetSocketAddress server;

	private final InetSocketAddress address;

	private final List<FaultRule> rules = new CopyOnWriteArrayList<>();

	private final Set<RelayedConnection> connections = ConcurrentHashMap.newKeySet();

	private ServerSocket serverSocket;

	private Thread acceptThread;

	private volatile boolean resetting;

	/**
	 * Creates a proxy on a free port and starts to accept connections.
	 * @param listenAddress the IP address to listen on
	 * @param server the address of the server
	 */
	public FaultProxy(String listenAddress, InetSocketAddress server) {
		this.server = server;
		this.serverSocket = listen(new InetSocketAddress(listenAddress, 0));
		this.address = (InetSocketAddress) this.serverSocket.getLocalSocketAddress();
		this.acceptThread = startAcceptThread(this.serverSocket);
	}

	/**
	 * Returns the address that clients connect to.
	 * @return the bound address
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Adds a rule after the existing ones.
	 * @param rule the rule
	 * @return the same rule
	 */
	public FaultRule addRule(FaultRule rule) {
		this.rules.add(rule);
		return rule;
	}

	/**
	 * Resets all open connections, and each new one until {@link #restore()} is called.
	 */
	public void resetUntilRestored() {
		this.resetting = true;
		resetConnections();
	}

	/**
	 * Resets all open connections and refuses new ones until {@link #restore()} is
	 * called.
	 */
	public synchronized void refuseUntilRestored() {
		stopListening();
		resetConnections();
	}

	/**
	 * Removes all rules, releases held bytes and accepts connections again.
	 */
	public synchronized void restore() {
		this.resetting = false;
		List<FaultRule> removed = List.copyOf(this.rules);
		this.rules.removeAll(removed);
		removed.forEach(FaultRule::release);
		if (this.serverSocket.isClosed()) {
			this.serverSocket = listen(this.address);
			this.acceptThread = startAcceptThread(this.serverSocket);
		}
	}

	/**
	 * Resets the connections that are currently open.
	 */
	public void resetConnections() {
		this.connections.forEach(RelayedConnection::reset);
	}

	/**
	 * Returns the number of open connections.
	 * @return the number
	 */
	public int openConnections() {
		return this.connections.size();
	}

	@Override
	public synchronized void close() {
		stopListening();
		resetUntilRestored();
		this.rules.forEach(FaultRule::release);
	}

	List<FaultRule> rules() {
		return this.rules;
	}

	void onConnectionClosed(RelayedConnection connection) {
		this.connections.remove(connection);
	}

	static Thread daemonThread(Runnable task, String name) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		return thread;
	}

	private static ServerSocket listen(InetSocketAddress listenAddress) {
		try {
			return new ServerSocket(listenAddress.getPort(), BACKLOG, listenAddress.getAddress());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private Thread startAcceptThread(ServerSocket socket) {
		Thread thread = daemonThread(() -> accept(socket), "fault-proxy-" + socket.getLocalPort());
		thread.start();
		return thread;
	}

	// The operating system accepts connections until the thread blocked in accept() has
	// returned, so closing the server socket alone is not enough.
	private void stopListening() {
		try {
			this.serverSocket.close();
			this.acceptThread.join();
		}
		catch (IOException ex) {
			logger.debug("Could not close the server socket", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void accept(ServerSocket socket) {
		while (!socket.isClosed()) {
			try {
				relay(socket.accept());
			}
			catch (IOException ex) {
				logger.debug("Could not accept a connection", ex);
			}
		}
	}

	private void relay(Socket client) throws IOException {
		if (this.resetting) {
			client.setSoLinger(true, 0);
			client.close();
			return;
		}
		Socket outbound = new Socket();
		try {
			outbound.connect(this.server, CONNECT_TIMEOUT_MILLIS);
		}
		catch (IOException ex) {
			client.setSoLinger(true, 0);
			client.close();
			outbound.close();
			return;
		}
		RelayedConnection connection = new RelayedConnection(this, client, outbound);
		this.connections.add(connection);
		connection.start();
		if (this.resetting) {
			connection.reset();
		}
	}

}
