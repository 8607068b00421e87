package org.cyclamenstall.internal.upstream;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Checks the chat-completion objects of a model engine and gives them the caller's
 * request identifier in place of the attempt's. Immutable and thread-safe.
 */
final class ChatAnswerChecker {

	private static final JsonMapper mapper = JsonMapper.builder().build();

	private final String attemptId;

	private final String requestId;

	ChatAnswerChecker(String attemptId, String requestId) {
		this.attemptId = attemptId;
		this.requestId = requestId;
	}

	/**
	 * Checks one event of a stream.
	 * @param data the data of the event
	 * @return the event for the caller
	 * @throws InvalidAnswerException if it is malformed or of another attempt
	 */
	CheckedEvent checkEvent(String data) {
		JsonNode chunk = parse(data);
		JsonNode choice = chunk.path("choices").path(0);
		boolean finishing = choice.path("finish_reason").isTextual();
		boolean token = !choice.path("delta").path("content").asText("").isEmpty();
		return new CheckedEvent(withRequestId(data), token ? 1 : 0, finishing);
	}

	/**
	 * Checks a whole answer.
	 * @param body the body in bytes
	 * @return the checked text with the request identifier, and its tokens
	 * @throws InvalidAnswerException if it is malformed or of another attempt
	 */
	CheckedBody checkWhole(byte[] body) {
		String text = new String(body, StandardCharsets.UTF_8);
		JsonNode answer = parse(text);
		if (!answer.path("choices").path(0).path("message").path("content").isTextual()) {
			throw new InvalidAnswerException(AttemptFailure.MALFORMED, "the answer has no message");
		}
		long tokens = answer.path("usage").path("completion_tokens").asLong(0);
		return new CheckedBody(withRequestId(text).getBytes(StandardCharsets.UTF_8), tokens);
	}

	private JsonNode parse(String data) {
		JsonNode node;
		try {
			node = mapper.readTree(data);
		}
		catch (JsonProcessingException ex) {
			throw new InvalidAnswerException(AttemptFailure.MALFORMED, "the answer is not JSON");
		}
		if (node == null || !node.isObject() || !node.path("choices").isArray()) {
			throw new InvalidAnswerException(AttemptFailure.MALFORMED, "the answer is not a chat completion");
		}
		if (!node.path("id").asText("").equals(this.attemptId)) {
			throw new InvalidAnswerException(AttemptFailure.MISMATCHED, "the answer belongs to another attempt");
		}
		return node;
	}

	private String withRequestId(String data) {
		return data.replace("\"" + this.attemptId + "\"", "\"" + this.requestId + "\"");
	}

	/**
	 * Holds a checked body.
	 *
	 * @param body the body in bytes
	 * @param tokens the generated tokens
	 */
	record CheckedBody(byte[] body, long tokens) {

	}

	/**
	 * Holds a checked event.
	 *
	 * @param data the data of the event, one JSON object
	 * @param tokens the generated tokens that it carries
	 * @param finishing whether it carries the reason for the end
	 */
	record CheckedEvent(String data, int tokens, boolean finishing) {

	}

}
