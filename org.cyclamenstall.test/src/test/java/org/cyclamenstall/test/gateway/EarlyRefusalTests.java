package org.cyclamenstall.test.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.cyclamenstall.standin.site.ConditionWaiter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests of requests that are refused before their body was read. The caller sends the
 * whole body before it reads, as many HTTP clients do.
 */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class EarlyRefusalTests {

	private static final int PART_BYTES = 65_536;

	private static void sendBody(OutputStream output, int length, boolean chunked) throws IOException {
		byte[] part = "a".repeat(PART_BYTES).getBytes(StandardCharsets.US_ASCII);
		byte[] chunkHead = (Integer.toHexString(PART_BYTES) + "\r\n").getBytes(StandardCharsets.US_ASCII);
		byte[] chunkEnd = "\r\n".getBytes(StandardCharsets.US_ASCII);
		for (int sent = 0; sent < length; sent += PART_BYTES) {
			output.write(chunked ? chunkHead : new byte[0]);
			output.write(part);
			output.write(chunked ? chunkEnd : new byte[0]);
		}
		output.write((chunked ? "0\r\n\r\n" : "").getBytes(StandardCharsets.US_ASCII));
	}

	static Stream<Arguments> refusedRequests() {
		return Stream.of(1_048_576, 16 * 1_048_576)
			.flatMap((length) -> Stream.of(true, false)
				.flatMap((chunked) -> Stream.of("close", "keep-alive")
					.flatMap((connection) -> Stream.of(Arguments.of(401, "wrong", length, chunked, connection),
							Arguments.of(413, "secret", length, chunked, connection)))));
	}

	@ParameterizedTest
	@MethodSource("refusedRequests")
	void aResetDiscardsTheRefusalOfALongRequest(int status, String key, int length, boolean chunked, String connection)
			throws IOException {
		try (GatewayFixture gateway = GatewayFixture.withUpstreams()) {
			Socket socket = gateway.connect();
			OutputStream output = socket.getOutputStream();
			output.write(("POST /ledger/a HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer " + key + "\r\nConnection: "
					+ connection + "\r\n" + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + length)
					+ "\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
			sendBody(output, length, chunked);
			socket.shutdownOutput();
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			assertThat(response, startsWith("HTTP/1.1 " + status));
			assertThat(response, containsString("\"outcome\""));
			assertThat(response.trim(), endsWith("}"));
		}
	}

	@Test
	void aBodyWithoutAnEndKeepsItsRefusedRequestOpen() throws IOException {
		try (GatewayFixture gateway = GatewayFixture.withUpstreams()) {
			Socket socket = gateway.connect();
			socket.getOutputStream()
				.write(("POST /ledger/a HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer secret\r\n"
						+ "Transfer-Encoding: chunked\r\n\r\n10000\r\n" + "a".repeat(PART_BYTES) + "\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			assertThat(response, startsWith("HTTP/1.1 413"));
			ConditionWaiter.await(() -> gateway.server.openRequests() == 0, () -> "a request is still open");
		}
	}

}
