import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client that sends one request on a connection of its own. */
final class Client {

	/** What the client saw. */
	static final class Answer {

		/** The status, 0 if the connection ended without one, -1 if the client gave up waiting. */
		int status;

		boolean complete;

		Http.Message message = new Http.Message();

		int partialBytes;

		long millis;

		@Override
		public String toString() {
			return ((this.status > 0) ? "status " + this.status
					: (this.status == 0) ? "connection closed without an answer" : "no answer")
					+ (this.status > 0 ? (this.complete ? ", complete" : ", NOT complete, " + this.partialBytes + " bytes of the body") : "")
					+ " after " + this.millis + " ms";
		}

	}

	private Client() {
	}

	static Answer call(InetSocketAddress address, String head, byte[] body, int timeoutMillis) throws IOException {
		long start = System.nanoTime();
		Answer answer = new Answer();
		ByteArrayOutputStream partial = new ByteArrayOutputStream();
		try (Socket socket = new Socket()) {
			socket.connect(address, 1_000);
			socket.setSoTimeout(timeoutMillis);
			socket.setTcpNoDelay(true);
			try {
				socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
				socket.getOutputStream().write(body);
				socket.getOutputStream().flush();
			}
			catch (IOException ex) {
				// The answer may be there already.
			}
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			try {
				Http.Message message = Http.head(in);
				if (message != null) {
					answer.message = message;
					answer.status = Integer.parseInt(message.firstLine.split(" ")[1]);
					Http.body(in, message, true, partial);
					answer.complete = true;
				}
			}
			catch (java.net.SocketTimeoutException ex) {
				answer.status = (answer.status > 0) ? answer.status : -1;
			}
			catch (IOException ex) {
				// The connection ended too early.
			}
		}
		answer.partialBytes = partial.size();
		answer.millis = (System.nanoTime() - start) / 1_000_000;
		return answer;
	}

	static String head(String method, String path, String host, String id, long deadlineMillis, String key, int length,
			String... headers) {
		StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: "
				+ id + "\r\nDeadline-Ms: " + deadlineMillis + "\r\n");
		if (key != null) {
			head.append("Api-Key: " + key + "\r\n");
		}
		for (String header : headers) {
			head.append(header).append("\r\n");
		}
		if (length >= 0) {
			head.append("Content-Length: " + length + "\r\n");
		}
		return head.append("\r\n").toString();
	}

}
