package org.cyclamenstall.standin.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/**
 * Calls the operators' port of one daemon. Thread-safe.
 */
public final class OperatorClient {

	private static final HttpClient CLIENT = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(10))
		.build();

	private static final Duration ANSWER_LIMIT = Duration.ofSeconds(60);

	private static final int OK_STATUS = 200;

	private static final int UNREACHABLE = 0;

	private final InetSocketAddress operators;

	/**
	 * Creates a client.
	 * @param operators the address of the operators' port
	 */
	public OperatorClient(InetSocketAddress operators) {
		this.operators = operators;
	}

	/**
	 * Reads a path.
	 * @param path the path with its query
	 * @return the answer; its status is 0 if the daemon cannot be reached
	 */
	public OperatorAnswer get(String path) {
		return send(request(path).GET());
	}

	/**
	 * Writes a catalogue entry.
	 * @param name the name of the entry
	 * @param yaml the entry
	 * @return the answer
	 */
	public OperatorAnswer putEntry(String name, String yaml) {
		return send(request("/v1/catalogue/" + name).header("Content-Type", "application/yaml")
			.PUT(HttpRequest.BodyPublishers.ofString(yaml)));
	}

	/**
	 * Writes a catalogue entry if it is still at a revision.
	 * @param name the name of the entry
	 * @param yaml the entry
	 * @param expectedRevision the revision; 0 if the entry must not exist
	 * @return the answer
	 */
	public OperatorAnswer putEntry(String name, String yaml, long expectedRevision) {
		return send(request("/v1/catalogue/" + name + "?expected-revision=" + expectedRevision)
			.header("Content-Type", "application/yaml")
			.PUT(HttpRequest.BodyPublishers.ofString(yaml)));
	}

	/**
	 * Returns the sum of the samples of a metric.
	 * @param name the name of the metric
	 * @return the sum over all labels; 0 if there is none
	 */
	public double metric(String name) {
		return get("/metrics").body()
			.lines()
			.filter((line) -> line.startsWith(name + " ") || line.startsWith(name + "{"))
			.mapToDouble((line) -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
			.sum();
	}

	/**
	 * Returns whether the daemon is ready.
	 * @return {@code true} if it says so
	 */
	public boolean isReady() {
		return get("/ready").status() == OK_STATUS;
	}

	private HttpRequest.Builder request(String path) {
		return HttpRequest
			.newBuilder(URI.create("http://" + this.operators.getHostString() + ":" + this.operators.getPort() + path))
			.timeout(ANSWER_LIMIT);
	}

	private OperatorAnswer send(HttpRequest.Builder request) {
		try {
			HttpResponse<String> response = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
			return new OperatorAnswer(response.statusCode(), response.body());
		}
		catch (java.net.ConnectException ex) {
			return new OperatorAnswer(UNREACHABLE, String.valueOf(ex.getMessage()));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

}
