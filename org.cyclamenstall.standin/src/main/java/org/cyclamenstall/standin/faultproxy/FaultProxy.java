package org.cyclamenstall.standin.faultproxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
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

	private final ServerSocket listener;

	private final List<FaultRule> rules = new CopyOnWriteArrayList<>();

	private final Set<RelayedConnection> connections = ConcurrentHashMap.newKeySet();

	private volatile boolean refusing;

	/**
	 * Creates a proxy on a free port and starts to relay.
	 * @param listenAddress the IP number to listen on
	 * @param server the address of the server
	 */
	public FaultProxy(String listenAddress, InetSocketAddress server) {
		this.server = server;
		try {
			this.listener = new ServerSocket(0, BACKLOG, InetAddress.getByName(listenAddress));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		daemonThread(this::accept, "fault-proxy-" + this.listener.getLocalPort()).start();
	}

	/**
	 * Returns the address for clients.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.listener.getLocalSocketAddress();
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
		this.refusing = true;
		resetConnections();
	}

	/**
	 * Removes every rule, releases held bytes and takes connections again.
	 */
	public void pass() {
		this.refusing = false;
		List<FaultRule> removed = List.copyOf(this.rules);
		this.rules.removeAll(removed);
		removed.forEach(FaultRule::release);
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
	public void close() {
		try {
			this.listener.close();
		}
		catch (IOException ex) {
			logger.debug("Could not close the listener", ex);
		}
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

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				relay(this.listener.accept());
			}
			catch (IOException ex) {
				logger.debug("No connection accepted", ex);
			}
		}
	}

	private void relay(Socket client) throws IOException {
		if (this.refusing) {
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
		if (this.refusing) {
			connection.reset();
		}
	}

}
