package org.cyclamenstall.test.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.cyclamenstall.standin.caller.CallerCall;
import org.cyclamenstall.standin.caller.CallerClient;
import org.cyclamenstall.standin.caller.CallerResponse;
import org.cyclamenstall.standin.caller.ChatResponseForm;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link CallerCall} against a server that truncates its responses.
 */
class CallerCallTests {

	private static final String TRUNCATED_RESPONSE = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			+ "5\r\nhello\r\n6\r\n world\r\n";

	private static CallerResponse callTruncatingServer() throws IOException {
		try (ServerSocket server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
			CallerClient client = new CallerClient(
					new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), "key");
			CallerCall call = client.startChat("model", "text", 1, ChatResponseForm.STREAMED);
			try (Socket socket = server.accept()) {
				byte[] request = new byte[16_384];
				String received = "";
				while (!received.endsWith("}")) {
					received += new String(request, 0, socket.getInputStream().read(request), StandardCharsets.UTF_8);
				}
				socket.getOutputStream().write(TRUNCATED_RESPONSE.getBytes(StandardCharsets.UTF_8));
			}
			return call.awaitResponse();
		}
	}

	@Nested
	class WhenTheConnectionIsClosedBeforeTheEnd {

		@Test
		void allBytesThatArrivedAreReported() throws IOException {
			for (int repetition = 0; repetition < 300; repetition++) {
				CallerResponse response = callTruncatingServer();
				assertThat(response.body(), equalTo("hello world"));
				assertThat(response.failure().isPresent(), is(true));
			}
		}

	}

}
