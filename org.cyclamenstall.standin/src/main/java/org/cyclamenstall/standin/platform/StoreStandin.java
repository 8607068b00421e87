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
 * Stands in for the platform's key-value service, by the subset of Consul's HTTP API that
 * the daemons use. Every call is counted by kind, and the rates of the service are
 * enforced. Control requests set its faults. Thread-safe.
 */
public final class StoreStandin implements Standin {

	/** The writes that the service takes by default, per second. */
	public static final double DEFAULT_WRITES_PER_SECOND = 400;

	/** The reads that the service takes by default, per second. */
	public static final double DEFAULT_READS_PER_SECOND = 2_000;

	private static final String PATH = "/v1/kv/";

	private static final HttpString INDEX_HEADER = new HttpString("X-Consul-Index");

	private static final int MAXIMUM_VALUE_BYTES = 1_048_576;

	private static final long RANDOM_SEED = 1;

	private final String name;

	private final StandinServer server;

	private final CallCounts counts = new CallCounts();

	private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(RANDOM_SEED);

	private final RateLimit writes;

	private final RateLimit reads;

	private final List<Waiter> waiters = new ArrayList<>();

	private final List<Runnable> frozenCalls = new ArrayList<>();

	private StoreState state = new StoreState();

	private @Nullable StoreState staleState;

	private @Nullable StoreState snapshot;

	private StoreFaults faults = StoreFaults.NONE;

	private int answersToLose;

	/**
	 * Creates a store with the default rates and starts to listen.
	 * @param name the name
	 * @param address the IP number to listen on
	 * @param port the TCP port; 0 takes a free one
	 */
	public StoreStandin(String name, String address, int port) {
		this(name, address, port, 0, DEFAULT_WRITES_PER_SECOND, DEFAULT_READS_PER_SECOND);
	}

	/**
	 * Creates a store and starts to listen.
	 * @param name the name
	 * @param address the IP number to listen on
	 * @param port the TCP port; 0 takes a free one
	 * @param controlPort the TCP port of control requests; 0 takes a free one
	 * @param writesPerSecond the writes that it takes, per second
	 * @param readsPerSecond the reads that it takes, per second
	 */
	public StoreStandin(String name, String address, int port, int controlPort, double writesPerSecond,
			double readsPerSecond) {
		this.name = name;
		this.writes = new RateLimit(writesPerSecond, MonotonicClock.SYSTEM);
		this.reads = new RateLimit(readsPerSecond, MonotonicClock.SYSTEM);
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
	 * Returns the counts of calls.
	 * @return the counts
	 */
	public CallCounts counts() {
		return this.counts;
	}

	/**
	 * Puts faults into effect in place of the earlier ones.
	 * @param next the faults
	 */
	public void setFaults(StoreFaults next) {
		List<Runnable> thawed = new ArrayList<>();
		synchronized (this) {
			this.faults = next;
			this.answersToLose = (next.loseNextAnswers() != null) ? next.loseNextAnswers() : 0;
			this.staleState = next.hasStaleReads() ? this.state.copy() : null;
			if (!next.isFrozen()) {
				thawed.addAll(this.frozenCalls);
				this.frozenCalls.clear();
			}
		}
		this.server.setAvailability(next.effectiveAvailability());
		thawed.forEach(Runnable::run);
	}

	/**
	 * Remembers the values as they are.
	 */
	public synchronized void takeSnapshot() {
		this.snapshot = this.state.copy();
	}

	/**
	 * Puts the values and the index back to those of the last snapshot.
	 */
	public synchronized void restoreSnapshot() {
		if (this.snapshot == null) {
			throw new IllegalArgumentException("no snapshot was taken");
		}
		this.state = this.snapshot.copy();
		wakeWaiters((waiter) -> true);
	}

	@Override
	public void close() {
		this.server.close();
	}

	private ControlRoutes routes() {
		return new ControlRoutes().add("GET", "counts", (rest, body) -> this.counts.all())
			.add("GET", "faults", (rest, body) -> currentFaults())
			.add("PUT", "faults", (rest, body) -> {
				setFaults(Json.read(body, StoreFaults.class));
				return null;
			})
			.add("POST", "snapshot", (rest, body) -> {
				takeSnapshot();
				return null;
			})
			.add("POST", "restore", (rest, body) -> {
				restoreSnapshot();
				return null;
			});
	}

	private synchronized StoreFaults currentFaults() {
		return this.faults;
	}

	private void handle(HttpServerExchange exchange) {
		if (!exchange.getRequestPath().startsWith(PATH)) {
			exchange.setStatusCode(StatusCodes.NOT_FOUND).endExchange();
			return;
		}
		exchange.getRequestReceiver()
			.receiveFullBytes((ready, body) -> Exchanges.later(ready, currentFaults().effectiveDelayMillis(),
					() -> callUnlessFrozen(ready, body)));
	}

	private void callUnlessFrozen(HttpServerExchange exchange, byte[] body) {
		synchronized (this) {
			if (this.faults.isFrozen()) {
				this.counts.increment("frozen");
				Exchanges.park(exchange,
						() -> freeze(() -> exchange.getIoThread().execute(() -> call(exchange, body))));
				return;
			}
		}
		call(exchange, body);
	}

	private synchronized void freeze(Runnable call) {
		this.frozenCalls.add(call);
	}

	private void call(HttpServerExchange exchange, byte[] body) {
		String key = exchange.getRequestPath().substring(PATH.length());
		boolean reading = exchange.getRequestMethod().toString().equals("GET");
		if (!(reading ? this.reads : this.writes).tryAcquire()) {
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
			answerRead(exchange, key, recurse);
			return;
		}
		this.counts.increment("wait");
		Waiter waiter = new Waiter(exchange, key, recurse, index);
		synchronized (this) {
			if (readState().indexOf(key, recurse) == index) {
				long waitMillis = Durations.parseMillis(parameter(exchange, "wait"));
				this.waiters.add(waiter);
				Exchanges.park(exchange, () -> exchange.getIoThread()
					.executeAfter(() -> expire(waiter), waitMillis, TimeUnit.MILLISECONDS));
				return;
			}
		}
		answerRead(exchange, key, recurse);
	}

	private void expire(Waiter waiter) {
		synchronized (this) {
			if (!this.waiters.remove(waiter)) {
				return;
			}
		}
		answerRead(waiter.exchange, waiter.key, waiter.recurse);
	}

	private void answerRead(HttpServerExchange exchange, String key, boolean recurse) {
		List<Map<String, Object>> found = new ArrayList<>();
		synchronized (this) {
			StoreState from = readState();
			exchange.getResponseHeaders().put(INDEX_HEADER, from.indexOf(key, recurse));
			if (recurse) {
				from.below(key).forEach((name, value) -> found.add(toJson(name, value)));
			}
			else {
				StoredValue value = from.get(key);
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

	private StoreState readState() {
		return (this.staleState != null) ? this.staleState : this.state;
	}

	private void write(HttpServerExchange exchange, String key, byte[] body) {
		this.counts.increment("put");
		if (body.length > MAXIMUM_VALUE_BYTES) {
			exchange.setStatusCode(StatusCodes.REQUEST_ENTITY_TOO_LARGE).endExchange();
			return;
		}
		Long expected = longParameter(exchange, "cas");
		boolean applied;
		synchronized (this) {
			applied = this.state.put(key, body, expected);
			if (applied) {
				wakeWaiters((waiter) -> waiter.covers(key));
			}
		}
		answerWrite(exchange, applied);
	}

	private void delete(HttpServerExchange exchange, String key) {
		this.counts.increment("delete");
		Long expected = longParameter(exchange, "cas");
		boolean applied;
		synchronized (this) {
			applied = this.state.delete(key, expected);
			if (applied) {
				wakeWaiters((waiter) -> waiter.covers(key));
			}
		}
		answerWrite(exchange, applied);
	}

	private void answerWrite(HttpServerExchange exchange, boolean applied) {
		this.counts.increment(applied ? "applied" : "conflict");
		if (losesAnswer()) {
			this.counts.increment("answer-lost");
			Exchanges.abort(exchange);
		}
		else {
			Json.send(exchange, StatusCodes.OK, applied);
		}
	}

	private synchronized boolean losesAnswer() {
		if (this.answersToLose > 0) {
			this.answersToLose--;
			return true;
		}
		return this.faults.loseAnswersShare() != null && this.random.nextDouble() < this.faults.loseAnswersShare();
	}

	private void wakeWaiters(Predicate<Waiter> condition) {
		for (Iterator<Waiter> all = this.waiters.iterator(); all.hasNext();) {
			Waiter waiter = all.next();
			if (condition.test(waiter)) {
				all.remove();
				waiter.exchange.getIoThread().execute(() -> answerRead(waiter.exchange, waiter.key, waiter.recurse));
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

	private static @Nullable Long longParameter(HttpServerExchange exchange, String parameter) {
		String value = parameter(exchange, parameter);
		return (value != null && !value.isEmpty()) ? Long.valueOf(value) : null;
	}

	private static @Nullable String parameter(HttpServerExchange exchange, String parameter) {
		return exchange.getQueryParameters().containsKey(parameter)
				? exchange.getQueryParameters().get(parameter).peekFirst() : null;
	}

	private record Waiter(HttpServerExchange exchange, String key, boolean recurse, long index) {

		boolean covers(String changedKey) {
			return this.recurse ? changedKey.startsWith(this.key) : changedKey.equals(this.key);
		}

	}

}
