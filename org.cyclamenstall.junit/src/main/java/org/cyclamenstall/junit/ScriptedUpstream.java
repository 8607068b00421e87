package org.cyclamenstall.junit;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;

/**
 * Runs an HTTP server whose responses are raw bytes written by a script, so that a test
 * can truncate or corrupt a response at any position. Thread-safe; each connection has
 * its own thread and carries one request.
 */
public final class ScriptedUpstream implements AutoCloseable {

	private final ServerSocket server;

	private final Script script;

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	/**
	 * Starts listening on a free port of the loopback interface.
	 * @param script writes the response to each request
	 * @throws IOException if the server socket cannot be bound
	 */
	public ScriptedUpstream(Script script) throws IOException {
		this.script = script;
		this.server = new ServerSocket(0, 0, InetAddress.getByName("127.0.0.1"));
		start(this::acceptConnections);
	}

	/**
	 * Returns this upstream as an entry of the host list.
	 * @return the host, in the state live
	 */
	public ListedHost listedHost() {
		return new ListedHost("scripted", "scripted-" + this.server.getLocalPort(), "127.0.0.1",
				this.server.getLocalPort(), "domain", HostState.LIVE);
	}

	/**
	 * Returns the requests received so far.
	 * @return the requests with headers and body, in order
	 */
	public List<String> requests() {
		return this.requests;
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	private void acceptConnections() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				this.sockets.add(socket);
				start(() -> serveConnection(socket));
			}
		}
		catch (IOException ex) {
			// The test closed the server socket.
		}
	}

	private void serveConnection(Socket socket) {
		try (socket) {
			InputStream input = new BufferedInputStream(socket.getInputStream());
			String request = readRequest(input);
			this.requests.add(request);
			this.script.respond(request, header(request, "x-request-id"), socket.getOutputStream());
			socket.getOutputStream().flush();
		}
		catch (IOException ex) {
			// The daemon closed the connection. The test checks the expected requests.
		}
	}

	private static String readRequest(InputStream input) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
			int next = input.read();
			if (next < 0) {
				throw new IOException("connection closed before the end of the request headers");
			}
			bytes.write(next);
		}
		String headers = bytes.toString(StandardCharsets.ISO_8859_1);
		String length = header(headers, "content-length");
		bytes.write(input.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length)));
		return bytes.toString(StandardCharsets.UTF_8);
	}

	private static String header(String request, String name) {
		return request.lines()
			.filter((line) -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
			.map((line) -> line.substring(name.length() + 1).trim())
			.findFirst()
			.orElse("");
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task, "scripted-upstream");
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Writes the response to a request. The connection is closed when the script returns.
	 */
	@FunctionalInterface
	public interface Script {

		/**
		 * Writes the response to a request.
		 * @param request the request with headers and body
		 * @param attemptId the identifier of the attempt, from the header
		 * {@code X-Request-Id}
		 * @param output the output stream of the connection
		 * @throws IOException if the connection was closed
		 */
		void respond(String request, String attemptId, OutputStream output) throws IOException;

	}

}
