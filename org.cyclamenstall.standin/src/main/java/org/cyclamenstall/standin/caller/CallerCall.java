package org.cyclamenstall.standin.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.BodySubscribers;
import java.net.http.HttpResponse.ResponseInfo;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.cyclamenstall.standin.site.ConditionWaiter;

/**
 * One HTTP call from a caller to a daemon. The constructor starts the call in a thread of
 * its own. Thread-safe.
 */
public final class CallerCall {

	private static final HttpHeaders NO_HEADERS = HttpHeaders.of(Map.of(), (name, value) -> true);

	private static final int RESPONSE_TIMEOUT_SECONDS = 180;

	private final HttpClient client;

	private final HttpRequest request;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final CompletableFuture<CallerResponse> response = new CompletableFuture<>();

	private final Thread thread;

	private volatile int status;

	private volatile HttpHeaders headers = NO_HEADERS;

	CallerCall(HttpClient client, HttpRequest request) {
		this.client = client;
		this.request = request;
		this.thread = new Thread(this::run, "caller");
		this.thread.setDaemon(true);
		this.thread.start();
	}

	/**
	 * Waits up to three minutes until the call has ended.
	 * @return the response, which may be truncated
	 * @throws IllegalStateException if the call has not ended by then
	 */
	public CallerResponse awaitResponse() {
		try {
			return this.response.get(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
		catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException ex) {
			throw new IllegalStateException("No response to " + this.request, ex);
		}
	}

	/**
	 * Returns whether the call has ended.
	 * @return {@code true} if the response is available
	 */
	public boolean isDone() {
		return this.response.isDone();
	}

	/**
	 * Waits until a number of tokens has been received or the call has ended.
	 * @param tokens the number of tokens
	 * @return {@code true} if at least that many tokens were received
	 * @throws IllegalStateException if neither happens within
	 * {@link ConditionWaiter#DEFAULT_TIMEOUT}
	 */
	public boolean awaitTokens(int tokens) {
		ConditionWaiter.await(() -> receivedTokens() >= tokens || isDone(),
				() -> "the call received " + receivedTokens() + " of " + tokens + " tokens: " + receivedBody());
		return receivedTokens() >= tokens;
	}

	/**
	 * Returns the number of tokens of a streamed response that were received so far.
	 * @return the number of tokens
	 */
	public int receivedTokens() {
		return new CallerResponse(0, NO_HEADERS, receivedBody(), Optional.empty()).tokens().size();
	}

	/**
	 * Closes the connection, even if the response is still incomplete.
	 */
	public void disconnect() {
		this.thread.interrupt();
	}

	private String receivedBody() {
		synchronized (this.body) {
			return this.body.toString(StandardCharsets.UTF_8);
		}
	}

	private void run() {
		try {
			this.client.send(this.request, this::receiveBody);
			complete(Optional.empty());
		}
		catch (IOException ex) {
			complete(Optional.of(ex));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			complete(Optional.of(ex));
		}
	}

	private void complete(Optional<Exception> failure) {
		this.response.complete(new CallerResponse(this.status, this.headers, receivedBody(), failure));
	}

	// Takes the bytes as they arrive. The client's input stream would discard those that
	// are not read yet when the connection is closed before the end of the response.
	private BodySubscriber<Void> receiveBody(ResponseInfo responseInfo) {
		this.status = responseInfo.statusCode();
		this.headers = responseInfo.headers();
		return BodySubscribers.ofByteArrayConsumer((bytes) -> bytes.ifPresent(this::append));
	}

	private void append(byte[] bytes) {
		synchronized (this.body) {
			this.body.writeBytes(bytes);
		}
	}

}
