package org.cyclamenstall.standin.engine;

import java.nio.charset.StandardCharsets;

import org.cyclamenstall.standin.http.AsyncResponseWriter;
import org.cyclamenstall.standin.http.Json;

/**
 * Sends each token as a server-sent event. Confined to the engine thread.
 */
final class StreamedResponse extends EngineResponse {

	private static final byte[] END_MARKER = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

	// Exceeds the daemon's limit of 1 MiB for one event.
	private static final int OVERSIZED_CHARACTERS = 4 * 1_048_576;

	private static final int FAULTY_TOKEN_NUMBER = 1;

	private final AsyncResponseWriter writer;

	private final Runnable headerSetter;

	private int sentTokens;

	private boolean truncated;

	StreamedResponse(String identifier, CompletionRequest request, ResponseFault fault, int truncateAfterTokens,
			AsyncResponseWriter writer, Runnable headerSetter) {
		super(identifier, request, fault, truncateAfterTokens);
		this.writer = writer;
		this.headerSetter = headerSetter;
	}

	@Override
	public void onToken(int index, String text) {
		if (this.truncated) {
			return;
		}
		if (this.sentTokens == 0) {
			this.headerSetter.run();
		}
		if (shouldTruncate(this.sentTokens)) {
			this.truncated = true;
			this.writer.abort();
			return;
		}
		this.sentTokens++;
		this.writer.write(event(text));
	}

	@Override
	public void onComplete() {
		if (this.truncated) {
			return;
		}
		if (this.sentTokens == 0) {
			this.headerSetter.run();
		}
		if (fault() == ResponseFault.CUT) {
			this.truncated = true;
			this.writer.abort();
			return;
		}
		Chunk.Usage usage = new Chunk.Usage(request().promptTokens(), request().tokens());
		this.writer.write(event(Json.write(Chunk.last(identifier(), usage))));
		this.writer.write(END_MARKER);
		if (fault() == ResponseFault.DUPLICATE) {
			this.writer.write(event(Json.write(Chunk.last(identifier(), usage))));
			this.writer.write(END_MARKER);
		}
		this.writer.end();
	}

	private byte[] event(String text) {
		if (this.sentTokens == FAULTY_TOKEN_NUMBER && fault() == ResponseFault.MALFORMED) {
			return "data: {\"id\":\n\n".getBytes(StandardCharsets.UTF_8);
		}
		if (this.sentTokens == FAULTY_TOKEN_NUMBER && fault() == ResponseFault.OVERSIZED) {
			return event(Json.write(Chunk.token(identifier(), "x".repeat(OVERSIZED_CHARACTERS))));
		}
		return event(Json.write(Chunk.token(identifier(), text)));
	}

	private static byte[] event(byte[] json) {
		return ("data: " + new String(json, StandardCharsets.UTF_8) + "\n\n").getBytes(StandardCharsets.UTF_8);
	}

}
