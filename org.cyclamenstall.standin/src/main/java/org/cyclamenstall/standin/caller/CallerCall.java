package org.cyclamenstall.standin.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpClient;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.cyclamenstall.standin.site.ConditionWaiter;
import org.jspecify.annotations.Nullable;

/**
 * One HTTP call from a caller to a daemon. The constructor starts the call in a thread of
 * its own. Thread-safe.
 */
public final class CallerCall {

	private static final HttpHeaders NO_HEADERS = HttpHeaders.of(Map.of(), (name, value) -> true);

	private static final int BUFFER_BYTES = 8_192;

	private static final int RESPONSE_TIMEOUT_SECONDS = 180;

	private final HttpClient client;

	private final HttpRequest request;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final CompletableFuture<CallerResponse> response = new CompletableFuture<>();

	private final Thread thread;

	private volatile @Nullable InputStream stream;

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
		try {
			InputStream openStream = this.stream;
			if (openStream != null) {
				openStream.close();
			}
			else {
				this.thread.interrupt();
			}
		}
		catch (IOException ex) {
			throw new java.io.UncheckedIOException(ex);
		}
	}

	private String receivedBody() {
		synchronized (this.body) {
			return this.body.toString(StandardCharsets.UTF_8);
		}
	}

	private void run() {
		int status = 0;
		HttpHeaders headers = NO_HEADERS;
		try {
			HttpResponse<InputStream> httpResponse = this.client.send(this.request,
					HttpResponse.BodyHandlers.ofInputStream());
			status = httpResponse.statusCode();
			headers = httpResponse.headers();
			this.stream = httpResponse.body();
			copy(httpResponse.body());
			this.response.complete(new CallerResponse(status, headers, receivedBody(), Optional.empty()));
		}
		catch (IOException ex) {
			this.response.complete(new CallerResponse(status, headers, receivedBody(), Optional.of(ex)));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			this.response.complete(new CallerResponse(status, headers, receivedBody(), Optional.of(ex)));
		}
	}

	private void copy(InputStream source) throws IOException {
		byte[] buffer = new byte[BUFFER_BYTES];
		int length = source.read(buffer);
		while (length >= 0) {
			synchronized (this.body) {
				this.body.write(buffer, 0, length);
			}
			length = source.read(buffer);
		}
	}

}
