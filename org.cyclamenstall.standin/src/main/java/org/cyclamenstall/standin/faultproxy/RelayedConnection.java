package org.cyclamenstall.standin.faultproxy;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Relays the bytes of one connection in both directions, each in its own thread.
 * Thread-safe.
 */
final class RelayedConnection {

	private static final Logger logger = LogManager.getLogger(RelayedConnection.class);

	private static final int BUFFER_BYTES = 16_384;

	private static final int MAXIMUM_REQUEST_TEXT_BYTES = 65_536;

	private final FaultProxy proxy;

	private final Socket client;

	private final Socket server;

	private final StringBuilder requestText = new StringBuilder();

	private boolean responseStarted;

	private long requestBytes;

	private long responseBytes;

	private int openDirections = 2;

	RelayedConnection(FaultProxy proxy, Socket client, Socket server) throws IOException {
		this.proxy = proxy;
		this.client = client;
		this.server = server;
		client.setTcpNoDelay(true);
		server.setTcpNoDelay(true);
	}

	void start() {
		FaultProxy
			.daemonThread(() -> relay(Direction.REQUEST, this.client, this.server),
					"relay-request-" + this.client.getPort())
			.start();
		FaultProxy
			.daemonThread(() -> relay(Direction.RESPONSE, this.server, this.client),
					"relay-response-" + this.client.getPort())
			.start();
	}

	void reset() {
		resetSocket(this.client);
		resetSocket(this.server);
		this.proxy.onConnectionClosed(this);
	}

	private void relay(Direction direction, Socket source, Socket target) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			int length = source.getInputStream().read(buffer);
			while (length >= 0) {
				forward(direction, buffer, length, target);
				length = source.getInputStream().read(buffer);
			}
			shutdownOutput(target);
			onDirectionClosed();
		}
		catch (IOException ex) {
			logger.debug("Relaying in direction {} failed", direction, ex);
			reset();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			reset();
		}
	}

	private void forward(Direction direction, byte[] buffer, int length, Socket target)
			throws IOException, InterruptedException {
		long offset = record(direction, buffer, length);
		Optional<FaultRule> rule = findRuleAndRecordHit(direction,
				new String(buffer, 0, length, StandardCharsets.ISO_8859_1), offset);
		if (rule.isPresent()) {
			apply(rule.get(), buffer, length, offset, target);
		}
		else {
			target.getOutputStream().write(buffer, 0, length);
		}
	}

	private void apply(FaultRule rule, byte[] buffer, int length, long offset, Socket target)
			throws IOException, InterruptedException {
		int forwarded = (int) Math.max(0, rule.afterBytes() - offset);
		target.getOutputStream().write(buffer, 0, forwarded);
		switch (rule.action()) {
			case HOLD -> {
				rule.awaitRelease();
				if (!rule.isDropping()) {
					target.getOutputStream().write(buffer, forwarded, length - forwarded);
				}
			}
			case DELAY -> {
				Thread.sleep(rule.delay().toMillis());
				target.getOutputStream().write(buffer, forwarded, length - forwarded);
			}
			case DISCARD -> logger.debug("Discarded {} bytes", length - forwarded);
			case HALF_CLOSE -> shutdownOutput(target);
			case CLOSE -> {
				this.client.close();
				this.server.close();
			}
			case RESET -> reset();
			default -> throw new IllegalStateException("Unknown action " + rule.action());
		}
	}

	// Returns the first matching rule that is below its maximum number of hits, and
	// records a hit of that rule.
	private Optional<FaultRule> findRuleAndRecordHit(Direction direction, String chunk, long offset) {
		String requestText = requestText();
		return this.proxy.rules()
			.stream()
			.filter((rule) -> rule.matches(direction, requestText, chunk, offset, chunk.length()))
			.filter(FaultRule::tryRecordHit)
			.findFirst();
	}

	private synchronized String requestText() {
		return this.requestText.toString();
	}

	// Counts the bytes, appends those of a request to its text, and returns their offset
	// in the request or response.
	private synchronized long record(Direction direction, byte[] buffer, int length) {
		if (direction == Direction.RESPONSE) {
			this.responseStarted = true;
			long offset = this.responseBytes;
			this.responseBytes += length;
			return offset;
		}
		// Request bytes after a response belong to the next request of the connection.
		if (this.responseStarted) {
			this.responseStarted = false;
			this.requestText.setLength(0);
			this.requestBytes = 0;
			this.responseBytes = 0;
		}
		if (this.requestText.length() < MAXIMUM_REQUEST_TEXT_BYTES) {
			this.requestText.append(new String(buffer, 0, length, StandardCharsets.ISO_8859_1));
		}
		long offset = this.requestBytes;
		this.requestBytes += length;
		return offset;
	}

	private void onDirectionClosed() {
		synchronized (this) {
			this.openDirections--;
			if (this.openDirections > 0) {
				return;
			}
		}
		closeSocket(this.client);
		closeSocket(this.server);
		this.proxy.onConnectionClosed(this);
	}

	private static void shutdownOutput(Socket target) throws IOException {
		if (!target.isOutputShutdown()) {
			target.shutdownOutput();
		}
	}

	private static void resetSocket(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
		}
		catch (IOException ex) {
			logger.debug("Could not enable linger on a closed socket", ex);
		}
		closeSocket(socket);
	}

	private static void closeSocket(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			logger.debug("Could not close a socket", ex);
		}
	}

}
