package org.cyclamenstall.standin.platform;

import java.util.ArrayList;
import java.util.Base64;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.standin.Standin;
import org.cyclamenstall.standin.http.CallCounts;
import org.cyclamenstall.standin.http.ControlRoutes;
import org.cyclamenstall.standin.http.Exchanges;
import org.cyclamenstall.standin.http.Json;
import org.cyclamenstall.standin.http.StandinServer;
import org.jspecify.annotations.Nullable;

/**
 * Simulates the key-value store of the platform, with the subset of Consul's HTTP API
 * that the daemons use. Counts calls by kind and enforces the rate limits of the store.
 * Faults are set by control requests. Thread-safe.
 */
public final class StoreStandin implements Standin {

	/** The default rate limit of writes, per second. */
	public static final double DEFAULT_WRITES_PER_SECOND = 400;

	/** The default rate limit of reads, per second. */
	public static final double DEFAULT_READS_PER_SECOND = 2_000;

	private static final String PATH_PREFIX = "/v1/kv/";

	private static final HttpString INDEX_HEADER = new HttpString("X-Consul-Index");

	private static final int MAXIMUM_VALUE_BYTES = 1_048_576;

	private static final long RANDOM_SEED = 1;

	private final String name;

	private final StandinServer server;

	private final CallCounts counts = new CallCounts();

	private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(RANDOM_SEED);

	private final RateLimiter writeLimit;

	private final RateLimiter readLimit;

	private final List<BlockingQuery> blockingQueries = new ArrayList<>();

	private final List<Runnable> frozenCalls = new ArrayList<>();

	private StoreState state = new StoreState();

	private @Nullable StoreState staleState;

	private @Nullable StoreState snapshot;

	private StoreFaults faults = StoreFaults.NONE;

	private int responsesToLose;

	/**
	 * Creates a store with the default rate limits and starts to listen.
	 * @param name the name of the store
	 * @param address the IP address to listen on
	 * @param port the TCP port; 0 selects a free port
	 */
	public StoreStandin(String name, String address, int port) {
		this(name, address, port, 0, DEFAULT_WRITES_PER_SECOND, DEFAULT_READS_PER_SECOND);
	}

	/**
	 * Creates a store and starts to listen.
	 * @param name the name of the store
	 * @param address the IP address to listen on
	 * @param port the TCP port; 0 selects a free port
	 * @param controlPort the TCP port for control requests; 0 selects a free port
	 * @param writesPerSecond the rate limit of writes, per second
	 * @param readsPerSecond the rate limit of reads, per second
	 */
	public StoreStandin(String name, String address, int port, int controlPort, double writesPerSecond,
			double readsPerSecond) {
		this.name = name;
		this.writeLimit = new RateLimiter(writesPerSecond, MonotonicClock.SYSTEM);
		this.readLimit = new RateLimiter(readsPerSecond, MonotonicClock.SYSTEM);
		this.server = new StandinServer(address, port, controlPort, this::handle, routes());
	}

	@Override
	public String name() {
		return this.name;
	}

	@Override
	public StandinServer server() {
		return this.server;
	}

	/**
	 * Returns the counters of calls by kind.
	 * @return the counters
	 */
	public CallCounts counts() {
		return this.counts;
	}

	/**
	 * Replaces the injected faults. Executes the frozen calls unless the store stays
	 * frozen. If reads are to be stale, they return the state at the time of this call.
	 * @param newFaults the new faults
	 */
	public void setFaults(StoreFaults newFaults) {
		List<Runnable> releasedCalls = new ArrayList<>();
		synchronized (this) {
			this.faults = newFaults;
			this.responsesToLose = (newFaults.loseNextAnswers() != null) ? newFaults.loseNextAnswers() : 0;
			this.staleState = newFaults.hasStaleReads() ? this.state.copy() : null;
			if (!newFaults.isFrozen()) {
				releasedCalls.addAll(this.frozenCalls);
				this.frozenCalls.clear();
			}
		}
		this.server.setAvailability(newFaults.effectiveAvailability());
		releasedCalls.forEach(Runnable::run);
	}

	/**
	 * Saves the current state, replacing any earlier snapshot.
	 */
	public synchronized void takeSnapshot() {
		this.snapshot = this.state.copy();
	}

	/**
	 * Restores the values and the index of the latest snapshot and completes all blocking
	 * queries.
	 * @throws IllegalArgumentException if no snapshot was taken
	 */
	public synchronized void restoreSnapshot() {
		if (this.snapshot == null) {
			throw new IllegalArgumentException("no snapshot has been taken");
		}
		this.state = this.snapshot.copy();
		completeQueries((query) -> true);
	}

	@Override
	public void close() {
		this.server.close();
	}

	private ControlRoutes routes() {
		return new ControlRoutes().add("GET", "counts", (remainingPath, body) -> this.counts.all())
			.add("GET", "faults", (remainingPath, body) -> currentFaults())
			.add("PUT", "faults", (remainingPath, body) -> {
				setFaults(Json.read(body, StoreFaults.class));
				return null;
			})
			.add("POST", "snapshot", (remainingPath, body) -> {
				takeSnapshot();
				return null;
			})
			.add("POST", "restore", (remainingPath, body) -> {
				restoreSnapshot();
				return null;
			});
	}

	private synchronized StoreFaults currentFaults() {
		return this.faults;
	}

	private void handle(HttpServerExchange exchange) {
		if (!exchange.getRequestPath().startsWith(PATH_PREFIX)) {
			exchange.setStatusCode(StatusCodes.NOT_FOUND).endExchange();
			return;
		}
		exchange.getRequestReceiver()
			.receiveFullBytes((ready, body) -> Exchanges.runAfterDelay(ready, currentFaults().effectiveDelayMillis(),
					() -> executeUnlessFrozen(ready, body)));
	}

	private void executeUnlessFrozen(HttpServerExchange exchange, byte[] body) {
		synchronized (this) {
			if (this.faults.isFrozen()) {
				this.counts.increment("frozen");
				Exchanges.runAfterHandler(exchange,
						() -> addFrozenCall(() -> exchange.getIoThread().execute(() -> execute(exchange, body))));
				return;
			}
		}
		execute(exchange, body);
	}

	private synchronized void addFrozenCall(Runnable call) {
		this.frozenCalls.add(call);
	}

	private void execute(HttpServerExchange exchange, byte[] body) {
		String key = exchange.getRequestPath().substring(PATH_PREFIX.length());
		boolean isRead = exchange.getRequestMethod().toString().equals("GET");
		if (!(isRead ? this.readLimit : this.writeLimit).tryAcquire()) {
			this.counts.increment("refused-by-rate");
			exchange.setStatusCode(StatusCodes.TOO_MANY_REQUESTS).endExchange();
			return;
		}
		switch (exchange.getRequestMethod().toString()) {
			case "GET" -> read(exchange, key);
			case "PUT" -> write(exchange, key, body);
			case "DELETE" -> delete(exchange, key);
			default -> exchange.setStatusCode(StatusCodes.METHOD_NOT_ALLOWED).endExchange();
		}
	}

	private void read(HttpServerExchange exchange, String key) {
		boolean recurse = exchange.getQueryParameters().containsKey("recurse");
		Long index = longParameter(exchange, "index");
		if (index == null || index == 0) {
			this.counts.increment(recurse ? "list" : "get");
			respondToRead(exchange, key, recurse);
			return;
		}
		this.counts.increment("wait");
		BlockingQuery query = new BlockingQuery(exchange, key, recurse, index);
		synchronized (this) {
			if (visibleState().indexOf(key, recurse) == index) {
				long waitMillis = Durations.parseMillis(queryParameter(exchange, "wait"));
				this.blockingQueries.add(query);
				Exchanges.runAfterHandler(exchange, () -> exchange.getIoThread()
					.executeAfter(() -> onWaitExpired(query), waitMillis, TimeUnit.MILLISECONDS));
				return;
			}
		}
		respondToRead(exchange, key, recurse);
	}

	private void onWaitExpired(BlockingQuery query) {
		synchronized (this) {
			if (!this.blockingQueries.remove(query)) {
				return;
			}
		}
		respondToRead(query.exchange, query.key, query.recurse);
	}

	private void respondToRead(HttpServerExchange exchange, String key, boolean recurse) {
		List<Map<String, Object>> found = new ArrayList<>();
		synchronized (this) {
			StoreState visibleState = visibleState();
			exchange.getResponseHeaders().put(INDEX_HEADER, visibleState.indexOf(key, recurse));
			if (recurse) {
				visibleState.entriesWithPrefix(key).forEach((name, value) -> found.add(toJson(name, value)));
			}
			else {
				StoredValue value = visibleState.get(key);
				if (value != null) {
					found.add(toJson(key, value));
				}
			}
		}
		if (found.isEmpty()) {
			exchange.setStatusCode(StatusCodes.NOT_FOUND).endExchange();
		}
		else {
			Json.send(exchange, StatusCodes.OK, found);
		}
	}

	private StoreState visibleState() {
		return (this.staleState != null) ? this.staleState : this.state;
	}

	private void write(HttpServerExchange exchange, String key, byte[] body) {
		this.counts.increment("put");
		if (body.length > MAXIMUM_VALUE_BYTES) {
			exchange.setStatusCode(StatusCodes.REQUEST_ENTITY_TOO_LARGE).endExchange();
			return;
		}
		Long expectedIndex = longParameter(exchange, "cas");
		boolean applied;
		synchronized (this) {
			applied = this.state.put(key, body, expectedIndex);
			if (applied) {
				completeQueries((query) -> query.covers(key));
			}
		}
		respondToWrite(exchange, applied);
	}

	private void delete(HttpServerExchange exchange, String key) {
		this.counts.increment("delete");
		Long expectedIndex = longParameter(exchange, "cas");
		boolean applied;
		synchronized (this) {
			applied = this.state.delete(key, expectedIndex);
			if (applied) {
				completeQueries((query) -> query.covers(key));
			}
		}
		respondToWrite(exchange, applied);
	}

	private void respondToWrite(HttpServerExchange exchange, boolean applied) {
		this.counts.increment(applied ? "applied" : "conflict");
		if (shouldLoseResponse()) {
			this.counts.increment("answer-lost");
			Exchanges.closeConnection(exchange);
		}
		else {
			Json.send(exchange, StatusCodes.OK, applied);
		}
	}

	// Counts down the responses to lose; after that, decides by the configured share.
	private synchronized boolean shouldLoseResponse() {
		if (this.responsesToLose > 0) {
			this.responsesToLose--;
			return true;
		}
		return this.faults.loseAnswersShare() != null && this.random.nextDouble() < this.faults.loseAnswersShare();
	}

	private void completeQueries(Predicate<BlockingQuery> condition) {
		for (Iterator<BlockingQuery> iterator = this.blockingQueries.iterator(); iterator.hasNext();) {
			BlockingQuery query = iterator.next();
			if (condition.test(query)) {
				iterator.remove();
				query.exchange.getIoThread().execute(() -> respondToRead(query.exchange, query.key, query.recurse));
			}
		}
	}

	private static Map<String, Object> toJson(String key, StoredValue value) {
		Map<String, Object> json = new LinkedHashMap<>();
		json.put("LockIndex", 0);
		json.put("Key", key);
		json.put("Flags", 0);
		json.put("Value", Base64.getEncoder().encodeToString(value.value()));
		json.put("CreateIndex", value.createIndex());
		json.put("ModifyIndex", value.modifyIndex());
		return json;
	}

	private static @Nullable Long longParameter(HttpServerExchange exchange, String parameterName) {
		String value = queryParameter(exchange, parameterName);
		return (value != null && !value.isEmpty()) ? Long.valueOf(value) : null;
	}

	private static @Nullable String queryParameter(HttpServerExchange exchange, String parameterName) {
		return exchange.getQueryParameters().containsKey(parameterName)
				? exchange.getQueryParameters().get(parameterName).peekFirst() : null;
	}

	private record BlockingQuery(HttpServerExchange exchange, String key, boolean recurse, long index) {

		boolean covers(String changedKey) {
			return this.recurse ? changedKey.startsWith(this.key) : changedKey.equals(this.key);
		}

	}

}
