package org.cyclamenstall.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.cyclamenstall.standin.http.BufferedAnswer;
import org.cyclamenstall.standin.http.Json;

/**
 * Gathers the tokens and sends them in one answer. Confined to the engine's thread.
 */
final class WholeAnswer extends EngineAnswer {

	private static final int OVERSIZED_CHARACTERS = 32 * 1_048_576;

	private final BufferedAnswer answer;

	private final Head head;

	private final StringBuilder text = new StringBuilder();

	private int tokens;

	WholeAnswer(String identifier, CompletionRequest request, AnswerFault fault, int cutAfterTokens,
			BufferedAnswer answer, Head head) {
		super(identifier, request, fault, cutAfterTokens);
		this.answer = answer;
		this.head = head;
	}

	@Override
	public void onToken(int index, String tokenText) {
		this.text.append(tokenText);
		this.tokens++;
	}

	@Override
	public void onComplete() {
		if (fault() == AnswerFault.OVERSIZED) {
			this.text.append("x".repeat(OVERSIZED_CHARACTERS));
		}
		Chunk.Usage usage = new Chunk.Usage(request().promptTokens(), request().tokens());
		byte[] body = Json.write(Completion.of(identifier(), this.text.toString(), usage));
		if (fault() == AnswerFault.MALFORMED) {
			body = Arrays.copyOf(body, body.length / 2);
		}
		this.head.send(body.length, (fault() == AnswerFault.DUPLICATE) ? secondAnswer(body) : new byte[0]);
		if (fault() == AnswerFault.CUT) {
			this.answer.write(Arrays.copyOf(body, Math.min(body.length - 1, 1 + body.length / 2)));
			this.answer.abort();
		}
		else {
			this.answer.write(body);
			this.answer.end();
		}
	}

	private byte[] secondAnswer(byte[] body) {
		String start = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: " + identifier()
				+ "\r\nContent-Length: " + body.length + "\r\n\r\n";
		return (start + new String(body, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Sends the head of a whole answer.
	 */
	@FunctionalInterface
	interface Head {

		/**
		 * Sends the head.
		 * @param length the length of the body, in bytes
		 * @param after bytes to send after the answer; may be empty
		 */
		void send(int length, byte[] after);

	}

}
