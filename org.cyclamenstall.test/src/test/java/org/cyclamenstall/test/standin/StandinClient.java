package org.cyclamenstall.test.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.cyclamenstall.standin.Standin;

/**
 * HTTP client of a stand-in. Thread-safe.
 */
final class StandinClient {

	static final int NO_RESPONSE = 0;

	private static final Duration TIMEOUT = Duration.ofSeconds(60);

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final Standin standin;

	StandinClient(Standin standin) {
		this.standin = standin;
	}

	HttpResponse<String> call(String method, String path, String body, String... headerNamesAndValues) {
		try {
			return this.client.send(request(method, path, body, headerNamesAndValues),
					HttpResponse.BodyHandlers.ofString());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Sends a request that may get no response.
	 * @return the status, or {@link #NO_RESPONSE} if the connection failed
	 */
	int status(String method, String path, String body, String... headerNamesAndValues) {
		try {
			return call(method, path, body, headerNamesAndValues).statusCode();
		}
		catch (UncheckedIOException ex) {
			return NO_RESPONSE;
		}
	}

	CompletableFuture<HttpResponse<String>> start(String method, String path, String body,
			String... headerNamesAndValues) {
		return this.client.sendAsync(request(method, path, body, headerNamesAndValues),
				HttpResponse.BodyHandlers.ofString());
	}

	private HttpRequest request(String method, String path, String body, String... headerNamesAndValues) {
		HttpRequest.Builder builder = HttpRequest
			.newBuilder(URI.create("http://" + this.standin.address() + ":" + this.standin.port() + path))
			.timeout(TIMEOUT)
			.method(method, HttpRequest.BodyPublishers.ofString(body));
		if (headerNamesAndValues.length > 0) {
			builder.headers(headerNamesAndValues);
		}
		return builder.build();
	}

}
