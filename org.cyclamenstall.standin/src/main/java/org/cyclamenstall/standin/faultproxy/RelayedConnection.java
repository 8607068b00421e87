package org.cyclamenstall.standin.faultproxy;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Relays the bytes of one connection in both directions. Thread-safe; each direction has
 * its own thread.
 */
final class RelayedConnection {

	private static final Logger logger = LogManager.getLogger(RelayedConnection.class);

	private static final int BUFFER_BYTES = 16_384;

	private static final int REQUEST_TEXT_BYTES = 65_536;

	private final FaultProxy proxy;

	private final Socket client;

	private final Socket server;

	private final StringBuilder request = new StringBuilder();

	private boolean requestAnswered;

	private long requestBytes;

	private long answerBytes;

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
			.daemonThread(() -> relay(Direction.ANSWER, this.server, this.client),
					"relay-answer-" + this.client.getPort())
			.start();
	}

	void reset() {
		resetSocket(this.client);
		resetSocket(this.server);
		this.proxy.ended(this);
	}

	private void relay(Direction direction, Socket source, Socket target) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			int length = source.getInputStream().read(buffer);
			while (length >= 0) {
				pass(direction, buffer, length, target);
				length = source.getInputStream().read(buffer);
			}
			endOutput(target);
			directionEnded();
		}
		catch (IOException ex) {
			logger.debug("The relay of {} ended", direction, ex);
			reset();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			reset();
		}
	}

	private void pass(Direction direction, byte[] buffer, int length, Socket target)
			throws IOException, InterruptedException {
		long before = record(direction, buffer, length);
		Optional<FaultRule> rule = ruleFor(direction, new String(buffer, 0, length, StandardCharsets.ISO_8859_1),
				before);
		if (rule.isPresent()) {
			apply(rule.get(), buffer, length, before, target);
		}
		else {
			target.getOutputStream().write(buffer, 0, length);
		}
	}

	private void apply(FaultRule rule, byte[] buffer, int length, long before, Socket target)
			throws IOException, InterruptedException {
		int passed = (int) Math.max(0, rule.afterBytes() - before);
		target.getOutputStream().write(buffer, 0, passed);
		switch (rule.action()) {
			case HOLD -> {
				rule.awaitRelease();
				if (!rule.isDropping()) {
					target.getOutputStream().write(buffer, passed, length - passed);
				}
			}
			case DELAY -> {
				Thread.sleep(rule.delay().toMillis());
				target.getOutputStream().write(buffer, passed, length - passed);
			}
			case DISCARD -> logger.debug("Discarded {} bytes", length - passed);
			case HALF_CLOSE -> endOutput(target);
			case CLOSE -> {
				this.client.close();
				this.server.close();
			}
			case RESET -> reset();
			default -> throw new IllegalStateException("Unknown action " + rule.action());
		}
	}

	private Optional<FaultRule> ruleFor(Direction direction, String chunk, long before) {
		String text = requestText();
		return this.proxy.rules()
			.stream()
			.filter((rule) -> rule.concerns(direction, text, chunk, before, chunk.length()))
			.filter(FaultRule::hit)
			.findFirst();
	}

	private synchronized String requestText() {
		return this.request.toString();
	}

	private synchronized long record(Direction direction, byte[] buffer, int length) {
		if (direction == Direction.ANSWER) {
			this.requestAnswered = true;
			long before = this.answerBytes;
			this.answerBytes += length;
			return before;
		}
		if (this.requestAnswered) {
			this.requestAnswered = false;
			this.request.setLength(0);
			this.requestBytes = 0;
			this.answerBytes = 0;
		}
		if (this.request.length() < REQUEST_TEXT_BYTES) {
			this.request.append(new String(buffer, 0, length, StandardCharsets.ISO_8859_1));
		}
		long before = this.requestBytes;
		this.requestBytes += length;
		return before;
	}

	private void directionEnded() {
		synchronized (this) {
			this.openDirections--;
			if (this.openDirections > 0) {
				return;
			}
		}
		closeSocket(this.client);
		closeSocket(this.server);
		this.proxy.ended(this);
	}

	private static void endOutput(Socket target) throws IOException {
		if (!target.isOutputShutdown()) {
			target.shutdownOutput();
		}
	}

	private static void resetSocket(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
		}
		catch (IOException ex) {
			logger.debug("The socket was closed before", ex);
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
