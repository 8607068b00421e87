package org.cyclamenstall.standin.engine;

import java.nio.charset.StandardCharsets;

import org.cyclamenstall.standin.http.BufferedAnswer;
import org.cyclamenstall.standin.http.Json;

/**
 * Sends each token as a server-sent event. Confined to the engine's thread.
 */
final class StreamedAnswer extends EngineAnswer {

	private static final byte[] END_MARK = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

	private static final int OVERSIZED_CHARACTERS = 4 * 1_048_576;

	private static final int FAULTY_TOKEN = 1;

	private final BufferedAnswer answer;

	private final Runnable head;

	private int tokensSent;

	private boolean broken;

	StreamedAnswer(String identifier, CompletionRequest request, AnswerFault fault, int cutAfterTokens,
			BufferedAnswer answer, Runnable head) {
		super(identifier, request, fault, cutAfterTokens);
		this.answer = answer;
		this.head = head;
	}

	@Override
	public void onToken(int index, String text) {
		if (this.broken) {
			return;
		}
		if (this.tokensSent == 0) {
			this.head.run();
		}
		if (isCutAt(this.tokensSent)) {
			this.broken = true;
			this.answer.abort();
			return;
		}
		this.tokensSent++;
		this.answer.write(event(text));
	}

	@Override
	public void onComplete() {
		if (this.broken) {
			return;
		}
		if (this.tokensSent == 0) {
			this.head.run();
		}
		if (fault() == AnswerFault.CUT) {
			this.broken = true;
			this.answer.abort();
			return;
		}
		Chunk.Usage usage = new Chunk.Usage(request().promptTokens(), request().tokens());
		this.answer.write(event(Json.write(Chunk.last(identifier(), usage))));
		this.answer.write(END_MARK);
		if (fault() == AnswerFault.DUPLICATE) {
			this.answer.write(event(Json.write(Chunk.last(identifier(), usage))));
			this.answer.write(END_MARK);
		}
		this.answer.end();
	}

	private byte[] event(String text) {
		if (this.tokensSent == FAULTY_TOKEN && fault() == AnswerFault.MALFORMED) {
			return "data: {\"id\":\n\n".getBytes(StandardCharsets.UTF_8);
		}
		if (this.tokensSent == FAULTY_TOKEN && fault() == AnswerFault.OVERSIZED) {
			return event(Json.write(Chunk.token(identifier(), "x".repeat(OVERSIZED_CHARACTERS))));
		}
		return event(Json.write(Chunk.token(identifier(), text)));
	}

	private static byte[] event(byte[] json) {
		return ("data: " + new String(json, StandardCharsets.UTF_8) + "\n\n").getBytes(StandardCharsets.UTF_8);
	}

}
