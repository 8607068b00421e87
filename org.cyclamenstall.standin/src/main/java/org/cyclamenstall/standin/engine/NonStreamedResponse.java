package org.cyclamenstall.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.cyclamenstall.standin.http.AsyncResponseWriter;
import org.cyclamenstall.standin.http.Json;

/**
 * Collects the tokens and sends them in one non-streamed response. Confined to the engine
 * thread.
 */
final class NonStreamedResponse extends EngineResponse {

	// Exceeds the daemon's limit of 8 MiB for a buffered response.
	private static final int OVERSIZED_CHARACTERS = 32 * 1_048_576;

	private final AsyncResponseWriter writer;

	private final HeaderSetter headerSetter;

	private final StringBuilder text = new StringBuilder();

	private int tokens;

	NonStreamedResponse(String identifier, CompletionRequest request, ResponseFault fault, int truncateAfterTokens,
			AsyncResponseWriter writer, HeaderSetter headerSetter) {
		super(identifier, request, fault, truncateAfterTokens);
		this.writer = writer;
		this.headerSetter = headerSetter;
	}

	@Override
	public void onToken(int index, String tokenText) {
		this.text.append(tokenText);
		this.tokens++;
	}

	@Override
	public void onComplete() {
		if (fault() == ResponseFault.OVERSIZED) {
			this.text.append("x".repeat(OVERSIZED_CHARACTERS));
		}
		Chunk.Usage usage = new Chunk.Usage(request().promptTokens(), request().tokens());
		byte[] body = Json.write(Completion.of(identifier(), this.text.toString(), usage));
		if (fault() == ResponseFault.MALFORMED) {
			body = Arrays.copyOf(body, body.length / 2);
		}
		this.headerSetter.set(body.length,
				(fault() == ResponseFault.DUPLICATE) ? duplicateResponse(body) : new byte[0]);
		if (fault() == ResponseFault.CUT) {
			this.writer.write(Arrays.copyOf(body, Math.min(body.length - 1, 1 + body.length / 2)));
			this.writer.abort();
		}
		else {
			this.writer.write(body);
			this.writer.end();
		}
	}

	private byte[] duplicateResponse(byte[] body) {
		String start = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: " + identifier()
				+ "\r\nContent-Length: " + body.length + "\r\n\r\n";
		return (start + new String(body, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Sets the headers of a response.
	 */
	@FunctionalInterface
	interface HeaderSetter {

		/**
		 * Sets the headers.
		 * @param length the length of the body, in bytes
		 * @param trailingBytes bytes to send after the response; may be empty
		 */
		void set(int length, byte[] trailingBytes);

	}

}
