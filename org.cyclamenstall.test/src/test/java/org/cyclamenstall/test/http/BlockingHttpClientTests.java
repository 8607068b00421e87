package org.cyclamenstall.test.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.cyclamenstall.internal.http.BlockingHttpClient;
import org.cyclamenstall.internal.http.HttpCall;
import org.cyclamenstall.internal.http.HttpResponse;
import org.cyclamenstall.internal.http.HttpResponseState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link BlockingHttpClient}, which calls the store, the host list and the API
 * of the platform, with responses that are written byte by byte.
 */
@Timeout(value = 1, unit = TimeUnit.MINUTES)
class BlockingHttpClientTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final int LONG_BODY_BYTES = 16_000_000;

	private static final String WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

	private final List<Socket> connections = new CopyOnWriteArrayList<>();

	private final AtomicInteger requests = new AtomicInteger();

	private ServerSocket server;

	private BlockingHttpClient client;

	/** Writes the response to the first request; the others get a whole one. */
	private volatile Response firstResponse = (output) -> write(output, WHOLE);

	@BeforeEach
	void start() throws IOException {
		this.server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
		startThread(this::accept);
		this.client = new BlockingHttpClient("test",
				new InetSocketAddress(InetAddress.getLoopbackAddress(), this.server.getLocalPort()));
	}

	@AfterEach
	void stop() throws IOException {
		this.client.close();
		this.server.close();
		for (Socket connection : this.connections) {
			connection.close();
		}
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket connection = this.server.accept();
				this.connections.add(connection);
				startThread(() -> serve(connection));
			}
			catch (IOException ex) {
				// The test is over.
			}
		}
	}

	private void serve(Socket connection) {
		try {
			while (readHead(connection.getInputStream())) {
				OutputStream output = connection.getOutputStream();
				if (this.requests.incrementAndGet() == 1) {
					this.firstResponse.write(output);
				}
				else {
					write(output, WHOLE);
				}
			}
		}
		catch (IOException | InterruptedException ex) {
			// The connection was closed by the client or by the response.
		}
	}

	private static boolean readHead(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = input.read();
			if (next < 0) {
				return false;
			}
			head.append((char) next);
		}
		return true;
	}

	private static void write(OutputStream output, String text) throws IOException {
		output.write(text.getBytes(StandardCharsets.ISO_8859_1));
		output.flush();
	}

	private static void startThread(Runnable task) {
		Thread thread = new Thread(task, "server");
		thread.setDaemon(true);
		thread.start();
	}

	private HttpResponse get() {
		return this.client.call(HttpCall.get("/", TIMEOUT));
	}

	private HttpResponse post(int bodyBytes) {
		return this.client.call(new HttpCall("POST", "/", Map.of(), new byte[bodyBytes], TIMEOUT));
	}

	// Guards against an answer of the store or the platform that was taken although its
	// framing was spoilt.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nwhole",
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\nwhole",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\nwhole",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwholeXX0\r\n\r\n",
			"HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
			"HTTP/1.1 200 OK\r\nno field\r\nContent-Length: 5\r\n\r\nwhole" })
	void aSpoiltAnswerIsTaken(String response) {
		this.firstResponse = (output) -> {
			write(output, response);
			output.close();
		};
		assertThat(post(0).state(), equalTo(HttpResponseState.NO_ANSWER));
	}

	// Guards against an interim answer that was taken for the final one, which then
	// answered the next call.
	@Test
	void anInterimAnswerIsTakenForTheFinalOne() {
		this.firstResponse = (output) -> write(output,
				"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
		assertThat(post(0).state(), equalTo(HttpResponseState.NO_ANSWER));
		assertThat(post(0).status(), equalTo(200));
	}

	// Guards against bytes after an answer that were taken for the answer to the next
	// call.
	@Test
	void aSecondAnswerIsTakenForThatOfTheNextCall() {
		this.firstResponse = (output) -> write(output, WHOLE + WHOLE.replace("whole", "other"));
		assertThat(post(0).text(), equalTo("whole"));
		assertThat(post(0).text(), equalTo("whole"));
		assertThat(this.connections.size(), equalTo(2));
	}

	// Guards against a call that is sent on a connection that the server has closed.
	@Test
	void aClosedConnectionIsUsed() throws Exception {
		this.firstResponse = (output) -> {
			write(output, WHOLE);
			output.close();
		};
		assertThat(post(0).text(), equalTo("whole"));
		TimeUnit.MILLISECONDS.sleep(200);
		assertThat(post(0).text(), equalTo("whole"));
	}

	// Guards against bytes that arrive on an idle connection and are taken for the answer
	// to the next call.
	@Test
	void anAnswerThatNobodyAskedForIsTakenForThatOfTheNextCall() throws Exception {
		this.firstResponse = (output) -> {
			write(output, WHOLE);
			TimeUnit.MILLISECONDS.sleep(100);
			write(output, WHOLE.replace("whole", "other"));
		};
		assertThat(post(0).text(), equalTo("whole"));
		TimeUnit.MILLISECONDS.sleep(300);
		assertThat(post(0).text(), equalTo("whole"));
	}

	@Test
	void theReasonOfARejectionIsNotTold() {
		this.firstResponse = (output) -> write(output, "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n");
		HttpResponse response = post(0);
		assertThat(response.hasStatus(200), is(false));
		assertThat(response.detail(), containsString("the length of the body is not a number"));
	}

	@Nested
	class WhenTheAnswerHasNoLength {

		@Test
		void itsOrderlyEndIsNotItsEnd() {
			BlockingHttpClientTests.this.firstResponse = (output) -> {
				write(output, "HTTP/1.1 200 OK\r\n\r\nwhole");
				output.close();
			};
			assertThat(post(0).text(), equalTo("whole"));
		}

		// Guards against a part of an answer that counted as complete because its
		// connection ended while the request was still being sent.
		@Test
		void itsEndBeforeTheEndOfTheRequestIsItsEnd() {
			BlockingHttpClientTests.this.firstResponse = (output) -> {
				write(output, "HTTP/1.1 200 OK\r\n\r\na part");
				BlockingHttpClientTests.this.connections.get(0).shutdownOutput();
				pause();
			};
			HttpResponse response = post(LONG_BODY_BYTES);
			assertThat(response.text(), response.state(), equalTo(HttpResponseState.NO_ANSWER));
		}

		private static void pause() {
			try {
				TimeUnit.HOURS.sleep(1);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

	@Nested
	class WhenBytesArriveOneByOne {

		@ParameterizedTest
		@ValueSource(strings = { WHOLE,
				"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nEmpty:\r\nContent-Length:\t5 \r\n\r\nwhole",
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nwh\r\n03\r\nole\r\n0\r\nName: x\r\n\r\n" })
		void aSoundAnswerIsRejected(String response) {
			BlockingHttpClientTests.this.firstResponse = (output) -> {
				for (byte next : response.getBytes(StandardCharsets.ISO_8859_1)) {
					output.write(next);
					output.flush();
				}
			};
			assertThat(get().text(), equalTo("whole"));
			assertThat(get().text(), equalTo("whole"));
			assertThat(BlockingHttpClientTests.this.connections.size(), equalTo(1));
		}

	}

	/**
	 * Writes a response.
	 */
	@FunctionalInterface
	private interface Response {

		/**
		 * Writes the response to a request.
		 * @param output the connection to the client
		 * @throws IOException if the connection was lost
		 * @throws InterruptedException if the test is over
		 */
		void write(OutputStream output) throws IOException, InterruptedException;

	}

}
