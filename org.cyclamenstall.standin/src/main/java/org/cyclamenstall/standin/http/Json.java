package org.cyclamenstall.standin.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

/**
 * Reads and writes JSON bodies. Thread-safe.
 */
public final class Json {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private Json() {
	}

	/**
	 * Parses a body into an object. An empty body is read as an empty JSON object.
	 * @param <T> the type of the object
	 * @param body the body
	 * @param type the type of the object
	 * @return the parsed object
	 * @throws IOException if the body is malformed or has unknown fields
	 */
	public static <T> T read(byte[] body, Class<T> type) throws IOException {
		return MAPPER.readValue((body.length > 0) ? body : new byte[] { '{', '}' }, type);
	}

	/**
	 * Parses a body into a tree.
	 * @param body the body
	 * @return the root node
	 * @throws IOException if the body is malformed
	 */
	public static JsonNode readTree(byte[] body) throws IOException {
		return MAPPER.readTree(body);
	}

	/**
	 * Serializes a value.
	 * @param value the value
	 * @return the JSON document, encoded in UTF-8
	 */
	public static byte[] write(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Sends a JSON response.
	 * @param exchange the exchange
	 * @param status the HTTP status
	 * @param value the value to serialize as the body
	 */
	public static void send(HttpServerExchange exchange, int status, Object value) {
		exchange.setStatusCode(status);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(ByteBuffer.wrap(write(value)));
	}

}
