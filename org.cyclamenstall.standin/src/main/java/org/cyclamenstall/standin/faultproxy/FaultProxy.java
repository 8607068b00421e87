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
 * Relays TCP connections to one server and brings about the faults of its rules. The
 * first rule that concerns some bytes decides what happens to them. Thread-safe.
 */
public final class FaultProxy implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(FaultProxy.class);

	private static final int BACKLOG = 256;

	private static final int CONNECT_TIMEOUT_MILLIS = 10_000;

	private final InetSocketAddress server;

	private final InetSocketAddress address;

	private final List<FaultRule> rules = new CopyOnWriteArrayList<>();

	private final Set<RelayedConnection> connections = ConcurrentHashMap.newKeySet();

	private ServerSocket listener;

	private Thread acceptor;

	private volatile boolean cut;

	/**
	 * Creates a proxy on a free port and starts to relay.
	 * @param listenAddress the IP number to listen on
	 * @param server the address of the server
	 */
	public FaultProxy(String listenAddress, InetSocketAddress server) {
		this.server = server;
		this.listener = listen(new InetSocketAddress(listenAddress, 0));
		this.address = (InetSocketAddress) this.listener.getLocalSocketAddress();
		this.acceptor = startToAccept(this.listener);
	}

	/**
	 * Returns the address for clients.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Adds a rule behind those that stand.
	 * @param rule the rule
	 * @return the same rule
	 */
	public FaultRule add(FaultRule rule) {
		this.rules.add(rule);
		return rule;
	}

	/**
	 * Resets every connection, now and until {@link #pass()}.
	 */
	public void cut() {
		this.cut = true;
		resetConnections();
	}

	/**
	 * Refuses new connections and resets the open ones, until {@link #pass()}.
	 */
	public synchronized void refuse() {
		stopListening();
		resetConnections();
	}

	/**
	 * Removes every rule, releases held bytes and takes connections again.
	 */
	public synchronized void pass() {
		this.cut = false;
		List<FaultRule> removed = List.copyOf(this.rules);
		this.rules.removeAll(removed);
		removed.forEach(FaultRule::release);
		if (this.listener.isClosed()) {
			this.listener = listen(this.address);
			this.acceptor = startToAccept(this.listener);
		}
	}

	/**
	 * Resets the connections that are open now.
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
		cut();
		this.rules.forEach(FaultRule::release);
	}

	List<FaultRule> rules() {
		return this.rules;
	}

	void ended(RelayedConnection connection) {
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

	private Thread startToAccept(ServerSocket from) {
		Thread thread = daemonThread(() -> accept(from), "fault-proxy-" + from.getLocalPort());
		thread.start();
		return thread;
	}

	// The operating system takes connections until the thread that waits in accept has
	// woken up, so closing the socket is not enough.
	private void stopListening() {
		try {
			this.listener.close();
			this.acceptor.join();
		}
		catch (IOException ex) {
			logger.debug("Could not close the listener", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void accept(ServerSocket from) {
		while (!from.isClosed()) {
			try {
				relay(from.accept());
			}
			catch (IOException ex) {
				logger.debug("No connection accepted", ex);
			}
		}
	}

	private void relay(Socket client) throws IOException {
		if (this.cut) {
			client.setSoLinger(true, 0);
			client.close();
			return;
		}
		Socket upstream = new Socket();
		try {
			upstream.connect(this.server, CONNECT_TIMEOUT_MILLIS);
		}
		catch (IOException ex) {
			client.setSoLinger(true, 0);
			client.close();
			upstream.close();
			return;
		}
		RelayedConnection connection = new RelayedConnection(this, client, upstream);
		this.connections.add(connection);
		connection.start();
		if (this.cut) {
			connection.reset();
		}
	}

}
