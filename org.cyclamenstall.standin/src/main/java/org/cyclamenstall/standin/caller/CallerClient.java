package org.cyclamenstall.standin.caller;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cyclamenstall.lib.HeaderNames;

/**
 * HTTP client that sends requests to a daemon on behalf of a client account. Thread-safe.
 */
public final class CallerClient {

	private static final HttpClient CLIENT = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(10))
		.build();

	private static final Duration DEFAULT_HEADERS_TIMEOUT = Duration.ofSeconds(120);

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final InetSocketAddress daemon;

	private final String apiKey;

	private final Duration headersTimeout;

	/**
	 * Creates a client that waits up to two minutes for the headers of a response.
	 * @param daemon the address on which the daemon accepts callers
	 * @param apiKey the API key
	 */
	public CallerClient(InetSocketAddress daemon, String apiKey) {
		this(daemon, apiKey, DEFAULT_HEADERS_TIMEOUT);
	}

	/**
	 * Creates a client.
	 * @param daemon the address on which the daemon accepts callers
	 * @param apiKey the API key
	 * @param headersTimeout the maximum wait for the headers of a response
	 */
	public CallerClient(InetSocketAddress daemon, String apiKey, Duration headersTimeout) {
		this.daemon = daemon;
		this.apiKey = apiKey;
		this.headersTimeout = headersTimeout;
	}

	/**
	 * Starts a chat completion.
	 * @param model the model
	 * @param text the content of the single user message
	 * @param maximumTokens the maximum number of tokens to generate
	 * @param form the form of the response
	 * @return the running call
	 */
	public CallerCall startChat(String model, String text, int maximumTokens, ChatResponseForm form) {
		Map<String, Object> body = Map.of("model", model, "messages", List.of(Map.of("role", "user", "content", text)),
				"stream", form == ChatResponseForm.STREAMED, "max_tokens", maximumTokens);
		return start(request("/v1/chat/completions").header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(json(body))));
	}

	/**
	 * Requests a chat completion and waits for the response.
	 * @param model the model
	 * @param text the content of the single user message
	 * @param maximumTokens the maximum number of tokens to generate
	 * @param form the form of the response
	 * @return the response
	 */
	public CallerResponse chat(String model, String text, int maximumTokens, ChatResponseForm form) {
		return startChat(model, text, maximumTokens, form).awaitResponse();
	}

	/**
	 * Starts a POST request with an idempotency key to a plain service.
	 * @param path the path
	 * @param idempotencyKey the idempotency key
	 * @param body the body
	 * @return the running call
	 */
	public CallerCall startPostWithKey(String path, String idempotencyKey, String body) {
		return start(request(path).header("Content-Type", "application/json")
			.header(HeaderNames.IDEMPOTENCY_KEY, idempotencyKey)
			.POST(HttpRequest.BodyPublishers.ofString(body)));
	}

	/**
	 * Sends a POST request with an idempotency key to a plain service and waits for the
	 * response.
	 * @param path the path
	 * @param idempotencyKey the idempotency key
	 * @param body the body
	 * @return the response
	 */
	public CallerResponse postWithKey(String path, String idempotencyKey, String body) {
		return startPostWithKey(path, idempotencyKey, body).awaitResponse();
	}

	/**
	 * Sends a GET request to a plain service and waits for the response.
	 * @param path the path
	 * @return the response
	 */
	public CallerResponse get(String path) {
		return startGet(path).awaitResponse();
	}

	/**
	 * Starts a GET request to a plain service.
	 * @param path the path
	 * @return the running call
	 */
	public CallerCall startGet(String path) {
		return start(request(path).GET());
	}

	/**
	 * Sends a request without idempotency key and waits for the response.
	 * @param method the HTTP method
	 * @param path the path
	 * @param body the body
	 * @return the response
	 */
	public CallerResponse send(String method, String path, String body) {
		return start(request(path).method(method,
				HttpRequest.BodyPublishers.ofByteArray(body.getBytes(StandardCharsets.UTF_8))))
			.awaitResponse();
	}

	private CallerCall start(HttpRequest.Builder request) {
		return new CallerCall(CLIENT, request.build());
	}

	private HttpRequest.Builder request(String path) {
		URI uri = URI.create("http://" + this.daemon.getHostString() + ":" + this.daemon.getPort() + path);
		return HttpRequest.newBuilder(uri)
			.timeout(this.headersTimeout)
			.header(HeaderNames.AUTHORIZATION, "Bearer " + this.apiKey);
	}

	private static String json(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(new IOException(ex));
		}
	}

}
