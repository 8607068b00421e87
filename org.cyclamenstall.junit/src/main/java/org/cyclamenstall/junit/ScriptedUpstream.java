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
 * Answers each request with the raw bytes that a script writes, so that a test decides
 * where an answer is cut or broken. Thread-safe; each connection has its own thread.
 */
public final class ScriptedUpstream implements AutoCloseable {

	private final ServerSocket server;

	private final Script script;

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	/**
	 * Starts to listen on a free port.
	 * @param script answers each request
	 * @throws IOException if no port can be bound
	 */
	public ScriptedUpstream(Script script) throws IOException {
		this.script = script;
		this.server = new ServerSocket(0, 0, InetAddress.getByName("127.0.0.1"));
		start(this::accept);
	}

	/**
	 * Describes this upstream as the host list would.
	 * @return a live host
	 */
	public ListedHost listed() {
		return new ListedHost("scripted", "scripted-" + this.server.getLocalPort(), "127.0.0.1",
				this.server.getLocalPort(), "domain", HostState.LIVE);
	}

	/**
	 * Returns the requests so far, head and body.
	 * @return the requests as text
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

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				this.sockets.add(socket);
				start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The test closed the listening socket.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream input = new BufferedInputStream(socket.getInputStream());
			String request = readRequest(input);
			this.requests.add(request);
			this.script.answer(request, header(request, "x-request-id"), socket.getOutputStream());
			socket.getOutputStream().flush();
		}
		catch (IOException ex) {
			// The daemon closed the connection; the test checks what it needs itself.
		}
	}

	private static String readRequest(InputStream input) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
			int next = input.read();
			if (next < 0) {
				throw new IOException("The request ended within its head");
			}
			bytes.write(next);
		}
		String head = bytes.toString(StandardCharsets.ISO_8859_1);
		String length = header(head, "content-length");
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
	 * Answers one request. The connection is closed when the script returns.
	 */
	@FunctionalInterface
	public interface Script {

		/**
		 * Writes the answer.
		 * @param request the request, head and body
		 * @param attemptId the identifier of the attempt
		 * @param output takes the answer's raw bytes
		 * @throws IOException if the connection is lost
		 */
		void answer(String request, String attemptId, OutputStream output) throws IOException;

	}

}
