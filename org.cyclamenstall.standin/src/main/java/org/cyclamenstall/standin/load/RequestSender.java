package org.cyclamenstall.standin.load;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.cyclamenstall.lib.HeaderNames;
import org.cyclamenstall.standin.http.Json;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests to daemons without blocking and reports the results as seen by callers.
 * Thread-safe.
 */
final class RequestSender implements AutoCloseable {

	private static final int THREADS = 4;

	private static final int OK = 200;

	private static final String NOT_RUN = "not-run";

	private static final String CHAT_PATH = "/v1/chat/completions";

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(300);

	private static final String API_KEY_PREFIX = "load-key-";

	private static final String FILLER_TEXT = "the road from the yard to the shop is open until noon ";

	private static final int CHARACTERS_PER_TOKEN = 4;

	private final ExecutorService executor = Executors.newFixedThreadPool(THREADS, (task) -> {
		Thread thread = new Thread(task, "load-client");
		thread.setDaemon(true);
		return thread;
	});

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(CONNECT_TIMEOUT)
		.executor(this.executor)
		.build();

	private final Balancer balancer;

	private final String keyPrefix;

	/**
	 * Creates a sender.
	 * @param balancer selects the daemon of each request
	 * @param keyPrefix the prefix that makes the idempotency keys of this run unique
	 */
	RequestSender(Balancer balancer, String keyPrefix) {
		this.balancer = balancer;
		this.keyPrefix = keyPrefix;
	}

	/**
	 * Returns the API key that requests of an account carry.
	 * @param account the name of the account
	 * @return the key
	 */
	static String apiKey(String account) {
		return API_KEY_PREFIX + account;
	}

	/**
	 * Sends a request; tries the other daemons if a daemon refuses the connection.
	 * @param arrival the request
	 * @param intendedNanos the intended send time, as {@link System#nanoTime()}
	 * @return the result; never completes exceptionally
	 */
	CompletableFuture<RequestResult> send(Arrival arrival, long intendedNanos) {
		return send(arrival, intendedNanos, this.balancer.select(arrival.balancerSample()), this.balancer.size());
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	private CompletableFuture<RequestResult> send(Arrival arrival, long intendedNanos, int daemon, int remainingTries) {
		ResponseProgress progress = new ResponseProgress(intendedNanos, System.nanoTime());
		return this.client
			.sendAsync(createRequest(arrival, this.balancer.address(daemon)),
					HttpResponse.BodyHandlers.fromLineSubscriber(progress))
			.handle((response, failure) -> {
				if (isConnectionRefused(failure) && remainingTries > 1) {
					return send(arrival, intendedNanos, this.balancer.selectAfter(daemon), remainingTries - 1);
				}
				return CompletableFuture.completedFuture(createResult(arrival, intendedNanos, progress, response));
			})
			.thenCompose((future) -> future);
	}

	private static boolean isConnectionRefused(@Nullable Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return cause instanceof ConnectException;
	}

	private static RequestResult createResult(Arrival arrival, long intendedNanos, ResponseProgress progress,
			@Nullable HttpResponse<Void> response) {
		long endNanos = System.nanoTime() - intendedNanos;
		long[] tokenNanos = progress.tokenNanos();
		RequestOutcome requestOutcome = outcome(arrival, progress, response);
		boolean isCompletePlainResponse = requestOutcome == RequestOutcome.WHOLE && !arrival.requestClass().isChat();
		long firstNanos = isCompletePlainResponse ? endNanos : (tokenNanos.length > 0) ? tokenNanos[0] : -1;
		String errorKind = progress.errorKind();
		if (requestOutcome == RequestOutcome.CUT) {
			errorKind = (response != null) ? "answer-cut" : "connection-lost";
		}
		return new RequestResult(arrival, requestOutcome, errorKind, progress.sentNanos(), firstNanos, endNanos,
				tokenNanos);
	}

	private static RequestOutcome outcome(Arrival arrival, ResponseProgress progress,
			@Nullable HttpResponse<Void> response) {
		if (progress.hasError()) {
			return RequestOutcome.FAILED;
		}
		if (response == null) {
			return RequestOutcome.CUT;
		}
		if (response.statusCode() != OK) {
			String outcomeHeader = response.headers().firstValue(HeaderNames.OUTCOME).orElse("");
			return outcomeHeader.equals(NOT_RUN) ? RequestOutcome.REFUSED : RequestOutcome.FAILED;
		}
		return (progress.hasEndMarker() || !arrival.requestClass().isChat()) ? RequestOutcome.WHOLE
				: RequestOutcome.CUT;
	}

	private HttpRequest createRequest(Arrival arrival, InetSocketAddress daemon) {
		Deployment.RequestClass requestClass = arrival.requestClass();
		String path = requestClass.isChat() ? CHAT_PATH : requestClass.path();
		HttpRequest.Builder builder = HttpRequest
			.newBuilder(URI.create("http://" + daemon.getHostString() + ":" + daemon.getPort() + path))
			.timeout(RESPONSE_TIMEOUT)
			.header(HeaderNames.AUTHORIZATION, "Bearer " + apiKey(arrival.account()))
			.header("Content-Type", "application/json");
		if (requestClass.isChat()) {
			return builder.POST(HttpRequest.BodyPublishers.ofByteArray(Json.write(chatBody(arrival)))).build();
		}
		if (requestClass.method().equals("GET")) {
			return builder.GET().build();
		}
		byte[] body = Json.write(Map.of("item", arrival.sequence()));
		return builder.header(HeaderNames.IDEMPOTENCY_KEY, this.keyPrefix + "-" + arrival.sequence())
			.method(requestClass.method(), HttpRequest.BodyPublishers.ofByteArray(body))
			.build();
	}

	private static Map<String, Object> chatBody(Arrival arrival) {
		Deployment.RequestClass requestClass = arrival.requestClass();
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("model", requestClass.model());
		body.put("stream", true);
		body.put("max_tokens", requestClass.maximumTokens());
		body.put("standin_tokens", arrival.tokens());
		body.put("messages", List.of(message("system", prompt(requestClass.name(), requestClass.sharedPromptTokens())),
				message("user", prompt(arrival.account() + " " + arrival.sequence(), requestClass.promptTokens()))));
		return body;
	}

	private static Map<String, String> message(String role, String content) {
		return Map.of("role", role, "content", content);
	}

	private static String prompt(String start, int tokens) {
		int length = Math.max(start.length(), tokens * CHARACTERS_PER_TOKEN);
		return (start + " " + FILLER_TEXT.repeat(1 + length / FILLER_TEXT.length())).substring(0, length);
	}

}
