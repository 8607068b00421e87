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
import org.cyclamenstall.internal.http.HttpAnswer;
import org.cyclamenstall.internal.http.HttpAnswerState;
import org.cyclamenstall.internal.http.HttpCall;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.kernel.Service;
import org.cyclamenstall.settings.StoreSettings;
import org.cyclamenstall.store.ConfigurationStore;
import org.cyclamenstall.store.StoreListing;
import org.cyclamenstall.store.StorePriority;
import org.cyclamenstall.store.StoreRecord;
import org.cyclamenstall.store.WriteResult;

/**
 * Reaches a key-value service that speaks the published HTTP interface of Consul. A write
 * is sent at most once, and its result is {@link WriteResult#UNKNOWN} whenever a byte of
 * it may have left without a whole and meaningful answer. Calls beyond the budget and
 * calls during the pause after a failure are not sent. Thread-safe.
 */
public final class ConsulConfigurationStore implements ConfigurationStore, Service {

	private static final String INDEX_HEADER = "x-consul-index";

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final List<Integer> REFUSED_WITHOUT_EFFECT = List.of(400, 401, 403, 404, 405, 413, 429);

	private static final TypeReference<List<ConsulRecord>> RECORDS = new TypeReference<>() {
	};

	private final ObjectMapper mapper = new ObjectMapper();

	private final BlockingHttpClient client;

	private final CallBudget budget;

	private final OutagePause pause;

	private final Duration timeout;

	private final MonotonicClock clock;

	private final Counter calls;

	private final Histogram latency;

	/**
	 * Creates a store client.
	 * @param settings the settings of the store
	 * @param metrics where the counters are registered
	 * @param clock the clock
	 * @param random the source of jitter
	 */
	public ConsulConfigurationStore(StoreSettings settings, PrometheusRegistry metrics, MonotonicClock clock,
			UniformRandomProvider random) {
		this.client = new BlockingHttpClient("store", new InetSocketAddress(settings.address(), settings.port()));
		this.budget = new CallBudget(clock, settings.callsPerSecond());
		this.pause = new OutagePause(clock, random);
		this.timeout = Duration.ofMillis(settings.timeoutMillis());
		this.clock = clock;
		this.calls = Counter.builder()
			.name("cyclamenstall_store_calls_total")
			.help("Calls to the store by operation and result")
			.labelNames("operation", "result")
			.register(metrics);
		this.latency = Histogram.builder()
			.name("cyclamenstall_store_call_seconds")
			.help("Time until the store answered, waiting reads left out")
			.labelNames("operation")
			.classicOnly()
			.register(metrics);
	}

	@Override
	public Optional<StoreRecord> get(String key, StorePriority priority) {
		HttpAnswer answer = read("get", HttpCall.get(path(key, ""), this.timeout), priority);
		return records(answer).findFirst();
	}

	@Override
	public StoreListing list(String prefix, StorePriority priority) {
		return listing(read("list", HttpCall.get(path(prefix, "?recurse=true"), this.timeout), priority));
	}

	@Override
	public StoreListing waitForChange(String prefix, long index, Duration wait) {
		String query = "?recurse=true&index=" + index + "&wait=" + wait.toMillis() + "ms";
		HttpCall call = HttpCall.get(path(prefix, query), wait.plus(this.timeout));
		StoreListing listing = listing(read("wait", call, StorePriority.CATALOGUE));
		return (listing.index() < index) ? new StoreListing(listing.records(), 0) : listing;
	}

	@Override
	public WriteResult createIfAbsent(String key, byte[] value, StorePriority priority) {
		return write("create", call("PUT", path(key, "?cas=0"), value), priority);
	}

	@Override
	public WriteResult compareAndSwap(String key, byte[] value, long version, StorePriority priority) {
		if (version <= 0) {
			throw new IllegalArgumentException("A version is positive");
		}
		return write("swap", call("PUT", path(key, "?cas=" + version), value), priority);
	}

	@Override
	public WriteResult compareAndDelete(String key, long version, StorePriority priority) {
		if (version <= 0) {
			throw new IllegalArgumentException("A version is positive");
		}
		return write("delete", call("DELETE", path(key, "?cas=" + version), new byte[0]), priority);
	}

	@Override
	public void close() {
		this.client.close();
	}

	private HttpCall call(String method, String path, byte[] body) {
		return new HttpCall(method, path, Map.of(), body, this.timeout);
	}

	private HttpAnswer read(String operation, HttpCall call, StorePriority priority) {
		HttpAnswer answer = send(operation, call, priority);
		boolean answered = answer.hasStatus(OK) || answer.hasStatus(NOT_FOUND);
		this.calls.labelValues(operation, answered ? "answered" : resultOf(answer)).inc();
		if (!answered) {
			throw unavailable(operation, answer);
		}
		return answer;
	}

	private WriteResult write(String operation, HttpCall call, StorePriority priority) {
		HttpAnswer answer = send(operation, call, priority);
		WriteResult result = writeResult(answer);
		this.calls.labelValues(operation, result.name().toLowerCase(Locale.ROOT)).inc();
		return result;
	}

	private HttpAnswer send(String operation, HttpCall call, StorePriority priority) {
		if (!this.pause.allows()) {
			return notSent("waiting after a failure to reach the store");
		}
		if (!this.budget.tryAcquire(priority)) {
			return notSent("the budget of store calls is spent");
		}
		long startedAt = this.clock.nanoTime();
		HttpAnswer answer = this.client.call(call);
		if (answer.state() == HttpAnswerState.ANSWERED) {
			this.pause.succeeded();
		}
		else {
			this.pause.failed();
		}
		if (!"wait".equals(operation)) {
			this.latency.labelValues(operation).observe((this.clock.nanoTime() - startedAt) / 1e9);
		}
		return answer;
	}

	private Stream<StoreRecord> records(HttpAnswer answer) {
		if (answer.hasStatus(NOT_FOUND)) {
			return Stream.empty();
		}
		try {
			return this.mapper.readValue(answer.body(), RECORDS).stream().map(ConsulRecord::toStoreRecord);
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new RouterException(ErrorKind.STORE_UNAVAILABLE, "The store's answer is not well-formed", ex);
		}
	}

	private StoreListing listing(HttpAnswer answer) {
		List<StoreRecord> sorted = records(answer).sorted(Comparator.comparing(StoreRecord::key)).toList();
		try {
			return new StoreListing(sorted, Long.parseLong(answer.headers().getOrDefault(INDEX_HEADER, "0")));
		}
		catch (NumberFormatException ex) {
			throw new RouterException(ErrorKind.STORE_UNAVAILABLE, "The store's index is not well-formed", ex);
		}
	}

	private static WriteResult writeResult(HttpAnswer answer) {
		if (answer.state() == HttpAnswerState.NOT_SENT) {
			return WriteResult.NOT_SENT;
		}
		if (answer.state() == HttpAnswerState.ANSWERED && REFUSED_WITHOUT_EFFECT.contains(answer.status())) {
			return WriteResult.NOT_SENT;
		}
		if (!answer.hasStatus(OK)) {
			return WriteResult.UNKNOWN;
		}
		return switch (answer.text().strip()) {
			case "true" -> WriteResult.APPLIED;
			case "false" -> WriteResult.CONFLICT;
			default -> WriteResult.UNKNOWN;
		};
	}

	private static HttpAnswer notSent(String detail) {
		return new HttpAnswer(HttpAnswerState.NOT_SENT, 0, Map.of(), new byte[0], detail);
	}

	private static String resultOf(HttpAnswer answer) {
		return (answer.state() == HttpAnswerState.ANSWERED) ? "refused"
				: answer.state().name().toLowerCase(Locale.ROOT);
	}

	private static RouterException unavailable(String operation, HttpAnswer answer) {
		String detail = (answer.state() == HttpAnswerState.ANSWERED) ? "status " + answer.status()
				: String.valueOf(answer.detail());
		return new RouterException(ErrorKind.STORE_UNAVAILABLE,
				"The store did not answer the operation " + operation + ": " + detail);
	}

	private static String path(String key, String query) {
		String encoded = URLEncoder.encode(key, StandardCharsets.UTF_8).replace("+", "%20").replace("%2F", "/");
		return "/v1/kv/" + encoded + query;
	}

}
