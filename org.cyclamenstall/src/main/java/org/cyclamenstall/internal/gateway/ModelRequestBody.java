package org.cyclamenstall.internal.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.apache.commons.codec.digest.MurmurHash3;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.jspecify.annotations.Nullable;

/**
 * Fields of a chat-completion request that the router evaluates. Immutable.
 *
 * @param model the model name
 * @param streamed whether a streamed response is requested
 * @param maximumTokens the maximum number of generated tokens, or zero for no limit
 * @param promptTokens the estimated length of the prompt, in tokens
 * @param prefixKey a hash of the start of the prompt, or {@code null} for an empty prompt
 */
record ModelRequestBody(String model, boolean streamed, int maximumTokens, int promptTokens,
		@Nullable String prefixKey) {

	private static final JsonMapper mapper = JsonMapper.builder().build();

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int PREFIX_CHARACTERS = 512;

	/**
	 * Parses the body of a request.
	 * @param body the body in bytes
	 * @return the parsed fields
	 * @throws RouterException of kind {@code MALFORMED_REQUEST} if the body is not a
	 * valid request
	 */
	static ModelRequestBody parse(byte[] body) {
		JsonNode root = readTree(body);
		if (root == null || !root.isObject()) {
			throw malformed("the body is not a JSON object");
		}
		JsonNode model = root.path("model");
		JsonNode messages = root.path("messages");
		if (!model.isTextual()) {
			throw malformed("the field model is missing or not a string");
		}
		if (!messages.isArray() || messages.isEmpty()) {
			throw malformed("the field messages is missing, empty or not an array");
		}
		JsonNode stream = root.path("stream");
		if (!stream.isMissingNode() && !stream.isBoolean()) {
			throw malformed("the field stream is not a boolean");
		}
		String prompt = prompt(messages);
		return new ModelRequestBody(model.asText(), stream.asBoolean(false), maximumTokens(root),
				prompt.length() / CHARACTERS_PER_TOKEN, prefixKey(prompt));
	}

	private static int maximumTokens(JsonNode root) {
		JsonNode maximum = root.path("max_tokens");
		if (maximum.isMissingNode() || maximum.isNull()) {
			return 0;
		}
		if (!maximum.canConvertToInt() || maximum.asInt() < 1) {
			throw malformed("the field max_tokens is not a positive integer");
		}
		return maximum.asInt();
	}

	private static String prompt(JsonNode messages) {
		StringBuilder prompt = new StringBuilder();
		for (JsonNode message : messages) {
			prompt.append(message.path("content").asText(""));
		}
		return prompt.toString();
	}

	private static @Nullable String prefixKey(String prompt) {
		if (prompt.isEmpty()) {
			return null;
		}
		String prefix = prompt.substring(0, Math.min(prompt.length(), PREFIX_CHARACTERS));
		return Long.toHexString(MurmurHash3.hash128x64(prefix.getBytes(StandardCharsets.UTF_8))[0]);
	}

	private static @Nullable JsonNode readTree(byte[] body) {
		try {
			return mapper.readTree(body);
		}
		catch (IOException ex) {
			throw malformed("the body is not valid JSON");
		}
	}

	private static RouterException malformed(String message) {
		return new RouterException(ErrorKind.MALFORMED_REQUEST, message);
	}

}
