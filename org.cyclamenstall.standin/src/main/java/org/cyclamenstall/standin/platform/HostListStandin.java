package org.cyclamenstall.standin.platform;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import org.cyclamenstall.standin.Standin;
import org.cyclamenstall.standin.http.Availability;
import org.cyclamenstall.standin.http.CallCounts;
import org.cyclamenstall.standin.http.ControlRoutes;
import org.cyclamenstall.standin.http.Exchanges;
import org.cyclamenstall.standin.http.Json;
import org.cyclamenstall.standin.http.StandinServer;
import org.jspecify.annotations.Nullable;

/**
 * Simulates the host list of the platform, with the subset of Consul's HTTP API that the
 * daemons use. Changes can be published with a delay. Thread-safe.
 */
public final class HostListStandin implements Standin {

	private static final String PATH_PREFIX = "/v1/health/service/";

	private static final HttpString INDEX_HEADER = new HttpString("X-Consul-Index");

	private final String name;

	private final StandinServer server;

	private final CallCounts counts = new CallCounts();

	private final Map<String, Publication> published = new HashMap<>();

	private final Map<String, List<ListedService>> latest = new HashMap<>();

	private final List<BlockingQuery> blockingQueries = new ArrayList<>();

	private final ScheduledExecutorService publisher = Executors
		.newSingleThreadScheduledExecutor(HostListStandin::newThread);

	private HostListFaults faults = HostListFaults.NONE;

	private long index = 1;

	/**
	 * Creates a host list and starts to listen.
	 * @param name the name of the host list
	 * @param address the IP address to listen on
	 * @param port the TCP port; 0 selects a free port
	 */
	public HostListStandin(String name, String address, int port) {
		this(name, address, port, 0);
	}

	/**
	 * Creates a host list and starts to listen.
	 * @param name the name of the host list
	 * @param address the IP address to listen on
	 * @param port the TCP port; 0 selects a free port
	 * @param controlPort the TCP port for control requests; 0 selects a free port
	 */
	public HostListStandin(String name, String address, int port, int controlPort) {
		this.name = name;
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
	 * Sets the hosts of a service. The change is published after the configured lag.
	 * @param service the name of the service
	 * @param hosts all hosts of the service
	 */
	public synchronized void setHosts(String service, List<ListedService> hosts) {
		this.latest.put(service, List.copyOf(hosts));
		int lagMillis = (this.faults.lagMillis() != null) ? this.faults.lagMillis() : 0;
		if (lagMillis == 0) {
			publish(service, hosts);
		}
		else {
			this.publisher.schedule(() -> publish(service, hosts), lagMillis, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Adds a host to a service, or replaces the host with the same name.
	 * @param service the name of the service
	 * @param host the host
	 */
	public synchronized void putHost(String service, ListedService host) {
		List<ListedService> hosts = new ArrayList<>(this.latest.getOrDefault(service, List.of()));
		hosts.removeIf((other) -> other.host().equals(host.host()));
		hosts.add(host);
		setHosts(service, hosts);
	}

	/**
	 * Replaces the injected faults.
	 * @param newFaults the new faults
	 */
	public void setFaults(HostListFaults newFaults) {
		synchronized (this) {
			this.faults = newFaults;
		}
		this.server.setAvailability((newFaults.availability() != null) ? newFaults.availability() : Availability.UP);
	}

	@Override
	public void close() {
		this.server.close();
		this.publisher.shutdownNow();
	}

	private ControlRoutes routes() {
		return new ControlRoutes().add("GET", "counts", (remainingPath, body) -> this.counts.all())
			.add("GET", "faults", (remainingPath, body) -> currentFaults())
			.add("PUT", "faults", (remainingPath, body) -> {
				setFaults(Json.read(body, HostListFaults.class));
				return null;
			})
			.add("PUT", "hosts/", (remainingPath, body) -> {
				setHosts(remainingPath, Arrays.asList(Json.read(body, ListedService[].class)));
				return null;
			})
			.add("GET", "hosts/", (remainingPath, body) -> latestHosts(remainingPath));
	}

	private synchronized HostListFaults currentFaults() {
		return this.faults;
	}

	private synchronized List<ListedService> latestHosts(String service) {
		return this.latest.getOrDefault(service, List.of());
	}

	private synchronized void publish(String service, List<ListedService> hosts) {
		this.index++;
		this.published.put(service, new Publication(List.copyOf(hosts), this.index));
		for (Iterator<BlockingQuery> iterator = this.blockingQueries.iterator(); iterator.hasNext();) {
			BlockingQuery query = iterator.next();
			if (query.service.equals(service)) {
				iterator.remove();
				query.exchange.getIoThread().execute(() -> respond(query.exchange, service));
			}
		}
	}

	private void handle(HttpServerExchange exchange) {
		if (!exchange.getRequestPath().startsWith(PATH_PREFIX)) {
			exchange.setStatusCode(StatusCodes.NOT_FOUND).endExchange();
			return;
		}
		String service = exchange.getRequestPath().substring(PATH_PREFIX.length());
		Integer delayMillis = currentFaults().delayMillis();
		Exchanges.runAfterDelay(exchange, (delayMillis != null) ? delayMillis : 0, () -> read(exchange, service));
	}

	private void read(HttpServerExchange exchange, String service) {
		String indexText = queryParameter(exchange, "index");
		BlockingQuery query = new BlockingQuery(exchange, service);
		synchronized (this) {
			if (indexText != null && Long.parseLong(indexText) == currentPublication(service).index()) {
				this.counts.increment("wait");
				this.blockingQueries.add(query);
				long waitMillis = Durations.parseMillis(queryParameter(exchange, "wait"));
				Exchanges.runAfterHandler(exchange, () -> exchange.getIoThread()
					.executeAfter(() -> onWaitExpired(query), waitMillis, TimeUnit.MILLISECONDS));
				return;
			}
		}
		this.counts.increment("get");
		respond(exchange, service);
	}

	private void onWaitExpired(BlockingQuery query) {
		synchronized (this) {
			if (!this.blockingQueries.remove(query)) {
				return;
			}
		}
		respond(query.exchange, query.service);
	}

	private void respond(HttpServerExchange exchange, String service) {
		Publication publication;
		synchronized (this) {
			publication = currentPublication(service);
		}
		exchange.getResponseHeaders().put(INDEX_HEADER, publication.index());
		Json.send(exchange, StatusCodes.OK, publication.hosts().stream().map((host) -> toJson(service, host)).toList());
	}

	private Publication currentPublication(String service) {
		return this.published.getOrDefault(service, new Publication(List.of(), 1));
	}

	private static Map<String, Object> toJson(String service, ListedService host) {
		return Map.of("Node", Map.of("Node", host.host()), "Service",
				Map.of("Service", service, "Address", host.address(), "Port", host.port(), "Meta",
						Map.of("failure-domain", host.failureDomain(), "state", host.state())));
	}

	private static @Nullable String queryParameter(HttpServerExchange exchange, String parameterName) {
		return exchange.getQueryParameters().containsKey(parameterName)
				? exchange.getQueryParameters().get(parameterName).peekFirst() : null;
	}

	private static Thread newThread(Runnable task) {
		Thread thread = new Thread(task, "host-list-publisher");
		thread.setDaemon(true);
		return thread;
	}

	private record Publication(List<ListedService> hosts, long index) {

	}

	private record BlockingQuery(HttpServerExchange exchange, String service) {

	}

}
