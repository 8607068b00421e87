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
 * Sends requests to daemons without blocking and reports what their callers see.
 * Thread-safe.
 */
final class RequestSender implements AutoCloseable {

	private static final int THREADS = 4;

	private static final int OK = 200;

	private static final String NOT_RUN = "not-run";

	private static final String CHAT_PATH = "/v1/chat/completions";

	private static final Duration CONNECT_LIMIT = Duration.ofSeconds(5);

	private static final Duration ANSWER_LIMIT = Duration.ofSeconds(300);

	private static final String KEY_PREFIX = "load-key-";

	private static final String WORDS = "the road from the yard to the shop is open until noon ";

	private static final int CHARACTERS_PER_TOKEN = 4;

	private final ExecutorService executor = Executors.newFixedThreadPool(THREADS, (task) -> {
		Thread thread = new Thread(task, "load-client");
		thread.setDaemon(true);
		return thread;
	});

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(CONNECT_LIMIT)
		.executor(this.executor)
		.build();

	private final Balancer balancer;

	private final String run;

	/**
	 * Creates a sender.
	 * @param balancer chooses the daemons
	 * @param run a text that makes the idempotency keys of this run unique
	 */
	RequestSender(Balancer balancer, String run) {
		this.balancer = balancer;
		this.run = run;
	}

	/**
	 * Returns the API key of an account.
	 * @param account the name of the account
	 * @return the key
	 */
	static String apiKey(String account) {
		return KEY_PREFIX + account;
	}

	/**
	 * Sends a request.
	 * @param arrival the request
	 * @param intendedNanos when it was to be sent, by the clock of this machine
	 * @return what its caller saw; never fails
	 */
	CompletableFuture<RequestResult> send(Arrival arrival, long intendedNanos) {
		return send(arrival, intendedNanos, this.balancer.choose(arrival.balancerDraw()), this.balancer.size());
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	private CompletableFuture<RequestResult> send(Arrival arrival, long intendedNanos, int daemon, int triesLeft) {
		AnswerProgress progress = new AnswerProgress(intendedNanos, System.nanoTime());
		return this.client
			.sendAsync(request(arrival, this.balancer.address(daemon)),
					HttpResponse.BodyHandlers.fromLineSubscriber(progress))
			.handle((response, failure) -> {
				if (isRefused(failure) && triesLeft > 1) {
					return send(arrival, intendedNanos, this.balancer.next(daemon), triesLeft - 1);
				}
				return CompletableFuture.completedFuture(result(arrival, intendedNanos, progress, response));
			})
			.thenCompose((next) -> next);
	}

	private static boolean isRefused(@Nullable Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return cause instanceof ConnectException;
	}

	private static RequestResult result(Arrival arrival, long intendedNanos, AnswerProgress progress,
			@Nullable HttpResponse<Void> response) {
		long endNanos = System.nanoTime() - intendedNanos;
		long[] tokens = progress.tokenNanos();
		RequestEnd end = end(arrival, progress, response);
		boolean plainWhole = end == RequestEnd.WHOLE && !arrival.requestClass().isChat();
		long first = plainWhole ? endNanos : (tokens.length > 0) ? tokens[0] : -1;
		String kind = progress.errorKind();
		if (end == RequestEnd.CUT) {
			kind = (response != null) ? "answer-cut" : "connection-lost";
		}
		return new RequestResult(arrival, end, kind, progress.sentNanos(), first, endNanos, tokens);
	}

	private static RequestEnd end(Arrival arrival, AnswerProgress progress, @Nullable HttpResponse<Void> response) {
		if (progress.hasError()) {
			return RequestEnd.FAILED;
		}
		if (response == null) {
			return RequestEnd.CUT;
		}
		if (response.statusCode() != OK) {
			String outcome = response.headers().firstValue(HeaderNames.OUTCOME).orElse("");
			return outcome.equals(NOT_RUN) ? RequestEnd.REFUSED : RequestEnd.FAILED;
		}
		return (progress.hasEndMark() || !arrival.requestClass().isChat()) ? RequestEnd.WHOLE : RequestEnd.CUT;
	}

	private HttpRequest request(Arrival arrival, InetSocketAddress daemon) {
		Deployment.RequestClass requestClass = arrival.requestClass();
		String path = requestClass.isChat() ? CHAT_PATH : requestClass.path();
		HttpRequest.Builder builder = HttpRequest
			.newBuilder(URI.create("http://" + daemon.getHostString() + ":" + daemon.getPort() + path))
			.timeout(ANSWER_LIMIT)
			.header(HeaderNames.AUTHORIZATION, "Bearer " + apiKey(arrival.account()))
			.header("Content-Type", "application/json");
		if (requestClass.isChat()) {
			return builder.POST(HttpRequest.BodyPublishers.ofByteArray(Json.write(chatBody(arrival)))).build();
		}
		if (requestClass.method().equals("GET")) {
			return builder.GET().build();
		}
		byte[] body = Json.write(Map.of("item", arrival.sequence()));
		return builder.header(HeaderNames.IDEMPOTENCY_KEY, this.run + "-" + arrival.sequence())
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
		body.put("messages", List.of(message("system", text(requestClass.name(), requestClass.sharedPromptTokens())),
				message("user", text(arrival.account() + " " + arrival.sequence(), requestClass.promptTokens()))));
		return body;
	}

	private static Map<String, String> message(String role, String content) {
		return Map.of("role", role, "content", content);
	}

	private static String text(String start, int tokens) {
		int length = Math.max(start.length(), tokens * CHARACTERS_PER_TOKEN);
		return (start + " " + WORDS.repeat(1 + length / WORDS.length())).substring(0, length);
	}

}
