package org.cyclamenstall.internal.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.http.BlockingHttpClient;
import org.cyclamenstall.internal.http.HttpCall;
import org.cyclamenstall.internal.http.HttpResponse;
import org.cyclamenstall.internal.http.HttpResponseState;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.kernel.Service;
import org.cyclamenstall.settings.StoreSettings;
import org.cyclamenstall.store.ConfigurationStore;
import org.cyclamenstall.store.StoreListing;
import org.cyclamenstall.store.StorePriority;
import org.cyclamenstall.store.StoreRecord;
import org.cyclamenstall.store.WriteResult;

/**
 * Accesses a key-value store through the HTTP API of Consul. A write is sent at most
 * once. Its result is {@link WriteResult#UNKNOWN} if any byte of it may have been sent
 * and no complete, valid response was received. Calls beyond the call budget and calls
 * during the backoff after failures are not sent. Thread-safe.
 */
public final class ConsulConfigurationStore implements ConfigurationStore, Service {

	private static final String INDEX_HEADER = "x-consul-index";

	private static final int STATUS_OK = 200;

	private static final int STATUS_NOT_FOUND = 404;

	private static final List<Integer> STATUSES_WITHOUT_EFFECT = List.of(400, 401, 403, 404, 405, 413, 429);

	private static final TypeReference<List<ConsulRecord>> RECORD_LIST_TYPE = new TypeReference<>() {
	};

	private final ObjectMapper mapper = new ObjectMapper();

	private final BlockingHttpClient client;

	private final CallBudget budget;

	private final OutageBackoff backoff;

	private final Duration timeout;

	private final MonotonicClock clock;

	private final Counter calls;

	private final Histogram latency;

	/**
	 * Creates a store client.
	 * @param settings the settings of the store
	 * @param metrics the metrics registry
	 * @param clock the clock
	 * @param random the random number generator for jitter
	 */
	public ConsulConfigurationStore(StoreSettings settings, PrometheusRegistry metrics, MonotonicClock clock,
			UniformRandomProvider random) {
		this.client = new BlockingHttpClient("store", new InetSocketAddress(settings.address(), settings.port()));
		this.budget = new CallBudget(clock, settings.callsPerSecond());
		this.backoff = new OutageBackoff(clock, random);
		this.timeout = Duration.ofMillis(settings.timeoutMillis());
		this.clock = clock;
		this.calls = Counter.builder()
			.name("cyclamenstall_store_calls_total")
			.help("Calls to the store, by operation and result")
			.labelNames("operation", "result")
			.register(metrics);
		this.latency = Histogram.builder()
			.name("cyclamenstall_store_call_seconds")
			.help("Duration of calls to the store, excluding blocking queries")
			.labelNames("operation")
			.classicOnly()
			.register(metrics);
	}

	@Override
	public Optional<StoreRecord> get(String key, StorePriority priority) {
		HttpResponse response = read("get", HttpCall.get(path(key, ""), this.timeout), priority);
		return parseRecords(response).findFirst();
	}

	@Override
	public StoreListing list(String prefix, StorePriority priority) {
		return parseListing(read("list", HttpCall.get(path(prefix, "?recurse=true"), this.timeout), priority));
	}

	@Override
	public StoreListing waitForChange(String prefix, long index, Duration wait) {
		String query = "?recurse=true&index=" + index + "&wait=" + wait.toMillis() + "ms";
		HttpCall call = HttpCall.get(path(prefix, query), wait.plus(this.timeout));
		StoreListing listing = parseListing(read("wait", call, StorePriority.CATALOGUE));
		// The index of a restored store may be lower; the next query starts from 0.
		return (listing.index() < index) ? new StoreListing(listing.records(), 0) : listing;
	}

	@Override
	public WriteResult createIfAbsent(String key, byte[] value, StorePriority priority) {
		return write("create", createCall("PUT", path(key, "?cas=0"), value), priority);
	}

	@Override
	public WriteResult compareAndSwap(String key, byte[] value, long version, StorePriority priority) {
		if (version <= 0) {
			throw new IllegalArgumentException("The version must be positive");
		}
		return write("swap", createCall("PUT", path(key, "?cas=" + version), value), priority);
	}

	@Override
	public WriteResult compareAndDelete(String key, long version, StorePriority priority) {
		if (version <= 0) {
			throw new IllegalArgumentException("The version must be positive");
		}
		return write("delete", createCall("DELETE", path(key, "?cas=" + version), new byte[0]), priority);
	}

	@Override
	public void close() {
		this.client.close();
	}

	private HttpCall createCall(String method, String path, byte[] body) {
		return new HttpCall(method, path, Map.of(), body, this.timeout);
	}

	private HttpResponse read(String operation, HttpCall call, StorePriority priority) {
		HttpResponse response = send(operation, call, priority);
		boolean successful = response.hasStatus(STATUS_OK) || response.hasStatus(STATUS_NOT_FOUND);
		this.calls.labelValues(operation, successful ? "answered" : failureLabel(response)).inc();
		if (!successful) {
			throw unavailableException(operation, response);
		}
		return response;
	}

	private WriteResult write(String operation, HttpCall call, StorePriority priority) {
		HttpResponse response = send(operation, call, priority);
		WriteResult result = writeResult(response);
		this.calls.labelValues(operation, result.name().toLowerCase(Locale.ROOT)).inc();
		return result;
	}

	private HttpResponse send(String operation, HttpCall call, StorePriority priority) {
		if (!this.backoff.isCallAllowed()) {
			return notSentResponse("in backoff after failed store calls");
		}
		if (!this.budget.tryAcquire(priority)) {
			return notSentResponse("the store call budget is exhausted");
		}
		long startNanos = this.clock.nanoTime();
		HttpResponse response = this.client.call(call);
		if (response.state() == HttpResponseState.ANSWERED) {
			this.backoff.recordSuccess();
		}
		else {
			this.backoff.recordFailure();
		}
		if (!"wait".equals(operation)) {
			this.latency.labelValues(operation).observe((this.clock.nanoTime() - startNanos) / 1e9);
		}
		return response;
	}

	private Stream<StoreRecord> parseRecords(HttpResponse response) {
		if (response.hasStatus(STATUS_NOT_FOUND)) {
			return Stream.empty();
		}
		try {
			return this.mapper.readValue(response.body(), RECORD_LIST_TYPE).stream().map(ConsulRecord::toStoreRecord);
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new RouterException(ErrorKind.STORE_UNAVAILABLE, "Malformed response from the store", ex);
		}
	}

	private StoreListing parseListing(HttpResponse response) {
		List<StoreRecord> sorted = parseRecords(response).sorted(Comparator.comparing(StoreRecord::key)).toList();
		try {
			return new StoreListing(sorted, Long.parseLong(response.headers().getOrDefault(INDEX_HEADER, "0")));
		}
		catch (NumberFormatException ex) {
			throw new RouterException(ErrorKind.STORE_UNAVAILABLE, "Malformed index in a response from the store", ex);
		}
	}

	private static WriteResult writeResult(HttpResponse response) {
		if (response.state() == HttpResponseState.NOT_SENT) {
			return WriteResult.NOT_SENT;
		}
		if (response.state() == HttpResponseState.ANSWERED && STATUSES_WITHOUT_EFFECT.contains(response.status())) {
			return WriteResult.NOT_SENT;
		}
		if (!response.hasStatus(STATUS_OK)) {
			return WriteResult.UNKNOWN;
		}
		return switch (response.text().strip()) {
			case "true" -> WriteResult.APPLIED;
			case "false" -> WriteResult.CONFLICT;
			default -> WriteResult.UNKNOWN;
		};
	}

	private static HttpResponse notSentResponse(String detail) {
		return new HttpResponse(HttpResponseState.NOT_SENT, 0, Map.of(), new byte[0], detail);
	}

	private static String failureLabel(HttpResponse response) {
		return (response.state() == HttpResponseState.ANSWERED) ? "refused"
				: response.state().name().toLowerCase(Locale.ROOT);
	}

	private static RouterException unavailableException(String operation, HttpResponse response) {
		String detail = (response.state() == HttpResponseState.ANSWERED) ? "status " + response.status()
				: String.valueOf(response.detail());
		return new RouterException(ErrorKind.STORE_UNAVAILABLE,
				"Store call failed, operation " + operation + ": " + detail);
	}

	private static String path(String key, String query) {
		String encoded = URLEncoder.encode(key, StandardCharsets.UTF_8).replace("+", "%20").replace("%2F", "/");
		return "/v1/kv/" + encoded + query;
	}

}
