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
 * A client of the operator API of one daemon. Thread-safe.
 */
public final class OperatorClient {

	private static final HttpClient CLIENT = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(10))
		.build();

	private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(60);

	private static final int STATUS_OK = 200;

	private static final int STATUS_UNREACHABLE = 0;

	private final InetSocketAddress address;

	/**
	 * Creates a client.
	 * @param address the address on which the daemon accepts operators
	 */
	public OperatorClient(InetSocketAddress address) {
		this.address = address;
	}

	/**
	 * Sends a GET request.
	 * @param path the path with its query string
	 * @return the response; its status is 0 if the daemon refuses the connection
	 */
	public OperatorResponse get(String path) {
		return send(request(path).GET());
	}

	/**
	 * Creates or replaces a catalogue entry.
	 * @param name the name of the entry
	 * @param yaml the entry as YAML
	 * @return the response
	 */
	public OperatorResponse putEntry(String name, String yaml) {
		return send(request("/v1/catalogue/" + name).header("Content-Type", "application/yaml")
			.PUT(HttpRequest.BodyPublishers.ofString(yaml)));
	}

	/**
	 * Creates or replaces a catalogue entry if it is at the expected revision.
	 * @param name the name of the entry
	 * @param yaml the entry as YAML
	 * @param expectedRevision the expected revision; 0 if the entry must not exist
	 * @return the response
	 */
	public OperatorResponse putEntry(String name, String yaml, long expectedRevision) {
		return send(request("/v1/catalogue/" + name + "?expected-revision=" + expectedRevision)
			.header("Content-Type", "application/yaml")
			.PUT(HttpRequest.BodyPublishers.ofString(yaml)));
	}

	/**
	 * Returns the value of a metric, summed over its labels.
	 * @param name the name of the metric
	 * @return the sum of the samples; 0 if there are none
	 */
	public double metric(String name) {
		return get("/metrics").body()
			.lines()
			.filter((line) -> line.startsWith(name + " ") || line.startsWith(name + "{"))
			.mapToDouble((line) -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
			.sum();
	}

	/**
	 * Returns whether the daemon reports that it is ready.
	 * @return {@code true} if the readiness check responds with status 200
	 */
	public boolean isReady() {
		return get("/ready").status() == STATUS_OK;
	}

	private HttpRequest.Builder request(String path) {
		return HttpRequest
			.newBuilder(URI.create("http://" + this.address.getHostString() + ":" + this.address.getPort() + path))
			.timeout(RESPONSE_TIMEOUT);
	}

	private OperatorResponse send(HttpRequest.Builder request) {
		try {
			HttpResponse<String> response = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
			return new OperatorResponse(response.statusCode(), response.body());
		}
		catch (java.net.ConnectException ex) {
			return new OperatorResponse(STATUS_UNREACHABLE, String.valueOf(ex.getMessage()));
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
