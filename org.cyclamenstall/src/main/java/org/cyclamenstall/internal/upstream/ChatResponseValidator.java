package org.cyclamenstall.internal.upstream;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Validates the chat-completion objects of a model engine and replaces the attempt
 * identifier in them by the caller's request identifier. Immutable and thread-safe.
 */
final class ChatResponseValidator {

	private static final JsonMapper mapper = JsonMapper.builder().build();

	private final String attemptId;

	private final String requestId;

	ChatResponseValidator(String attemptId, String requestId) {
		this.attemptId = attemptId;
		this.requestId = requestId;
	}

	/**
	 * Validates one event of a stream.
	 * @param data the data of the event
	 * @return the event for the caller
	 * @throws InvalidResponseException if it is malformed or belongs to another attempt
	 */
	ValidatedEvent validateEvent(String data) {
		JsonNode chunk = parse(data);
		JsonNode choice = chunk.path("choices").path(0);
		boolean finishing = choice.path("finish_reason").isTextual();
		boolean hasToken = !choice.path("delta").path("content").asText("").isEmpty();
		return new ValidatedEvent(withRequestId(data), hasToken ? 1 : 0, finishing);
	}

	/**
	 * Validates a buffered response.
	 * @param body the body in bytes
	 * @return the body with the request identifier, and its token count
	 * @throws InvalidResponseException if it is malformed or belongs to another attempt
	 */
	ValidatedBody validateBody(byte[] body) {
		String text = new String(body, StandardCharsets.UTF_8);
		JsonNode response = parse(text);
		if (!response.path("choices").path(0).path("message").path("content").isTextual()) {
			throw new InvalidResponseException(AttemptFailure.MALFORMED, "the response contains no message");
		}
		long tokens = response.path("usage").path("completion_tokens").asLong(0);
		return new ValidatedBody(withRequestId(text).getBytes(StandardCharsets.UTF_8), tokens);
	}

	private JsonNode parse(String data) {
		JsonNode node;
		try {
			node = mapper.readTree(data);
		}
		catch (JsonProcessingException ex) {
			throw new InvalidResponseException(AttemptFailure.MALFORMED, "the response is not valid JSON");
		}
		if (node == null || !node.isObject() || !node.path("choices").isArray()) {
			throw new InvalidResponseException(AttemptFailure.MALFORMED, "the response is not a chat completion");
		}
		if (!node.path("id").asText("").equals(this.attemptId)) {
			throw new InvalidResponseException(AttemptFailure.MISMATCHED, "the response belongs to another attempt");
		}
		return node;
	}

	private String withRequestId(String data) {
		return data.replace("\"" + this.attemptId + "\"", "\"" + this.requestId + "\"");
	}

	/**
	 * Validated body of a buffered response.
	 *
	 * @param body the body in bytes
	 * @param tokens the number of generated tokens that it reports
	 */
	record ValidatedBody(byte[] body, long tokens) {

	}

	/**
	 * Validated event of a stream.
	 *
	 * @param data the data of the event, one JSON object
	 * @param tokens the number of generated tokens in the event
	 * @param finishing whether the event contains a finish reason
	 */
	record ValidatedEvent(String data, int tokens, boolean finishing) {

	}

}
