import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP/1.1 server with a thread for each connection. */
abstract class Server {

	final ServerSocket listener;

	final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	Server(String address) throws IOException {
		this.listener = new ServerSocket(0, 500, InetAddress.getByName(address));
		Thread thread = new Thread(this::accept, "accept");
		thread.setDaemon(true);
		thread.start();
	}

	String address() {
		return this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort();
	}

	/** Answers a request; returns false to close the connection. */
	abstract boolean answer(Http.Message request, OutputStream out, Socket connection) throws IOException;

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket connection = this.listener.accept();
				connection.setTcpNoDelay(true);
				this.connections.add(connection);
				Thread thread = new Thread(() -> serve(connection), "connection");
				thread.setDaemon(true);
				thread.start();
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			BufferedInputStream in = new BufferedInputStream(connection.getInputStream(), 65_536);
			OutputStream out = connection.getOutputStream();
			for (Http.Message request = Http.head(in); request != null; request = Http.head(in)) {
				Http.body(in, request, false, new ByteArrayOutputStream());
				if (!answer(request, out, connection)) {
					return;
				}
			}
		}
		catch (IOException | RuntimeException ex) {
			// The connection ended.
		}
		finally {
			this.connections.remove(connection);
		}
	}

	void stop() {
		try {
			this.listener.close();
			for (Socket connection : this.connections) {
				connection.close();
			}
		}
		catch (IOException ex) {
			// It is stopped anyway.
		}
	}

}
