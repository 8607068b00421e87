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
 * Holds one call of a caller while it runs. Thread-safe.
 */
public final class CallerCall {

	private static final HttpHeaders NO_HEADERS = HttpHeaders.of(Map.of(), (name, value) -> true);

	private static final int BUFFER_BYTES = 8_192;

	private static final int ANSWER_SECONDS = 180;

	private final HttpClient client;

	private final HttpRequest request;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final CompletableFuture<CallerAnswer> answer = new CompletableFuture<>();

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
	 * Waits for the end of the call.
	 * @return the answer, which may be cut
	 */
	public CallerAnswer answer() {
		try {
			return this.answer.get(ANSWER_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
		catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException ex) {
			throw new IllegalStateException("No answer to " + this.request, ex);
		}
	}

	/**
	 * Returns whether the call has ended.
	 * @return {@code true} if its answer is there
	 */
	public boolean isDone() {
		return this.answer.isDone();
	}

	/**
	 * Waits until the answer holds a number of tokens or has ended.
	 * @param tokens the number of tokens
	 * @return {@code true} if that many tokens came
	 */
	public boolean awaitTokens(int tokens) {
		ConditionWaiter.await(() -> tokensSoFar() >= tokens || isDone(),
				() -> "the call got " + tokensSoFar() + " of " + tokens + " tokens: " + bodySoFar());
		return tokensSoFar() >= tokens;
	}

	/**
	 * Returns the number of tokens received until now.
	 * @return the number
	 */
	public int tokensSoFar() {
		return new CallerAnswer(0, NO_HEADERS, bodySoFar(), Optional.empty()).tokens().size();
	}

	/**
	 * Closes the connection as a caller that vanishes does.
	 */
	public void vanish() {
		try {
			InputStream opened = this.stream;
			if (opened != null) {
				opened.close();
			}
			else {
				this.thread.interrupt();
			}
		}
		catch (IOException ex) {
			throw new java.io.UncheckedIOException(ex);
		}
	}

	private String bodySoFar() {
		synchronized (this.body) {
			return this.body.toString(StandardCharsets.UTF_8);
		}
	}

	private void run() {
		int status = 0;
		HttpHeaders headers = NO_HEADERS;
		try {
			HttpResponse<InputStream> response = this.client.send(this.request,
					HttpResponse.BodyHandlers.ofInputStream());
			status = response.statusCode();
			headers = response.headers();
			this.stream = response.body();
			copy(response.body());
			this.answer.complete(new CallerAnswer(status, headers, bodySoFar(), Optional.empty()));
		}
		catch (IOException ex) {
			this.answer.complete(new CallerAnswer(status, headers, bodySoFar(), Optional.of(ex)));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			this.answer.complete(new CallerAnswer(status, headers, bodySoFar(), Optional.of(ex)));
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
