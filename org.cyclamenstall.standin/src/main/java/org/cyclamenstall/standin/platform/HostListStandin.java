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
 * Stands in for the platform's list of hosts. A change is published after a lag.
 * Thread-safe.
 */
public final class HostListStandin implements Standin {

	private static final String PATH = "/v1/health/service/";

	private static final HttpString INDEX_HEADER = new HttpString("X-Consul-Index");

	private final String name;

	private final StandinServer server;

	private final CallCounts counts = new CallCounts();

	private final Map<String, Publication> published = new HashMap<>();

	private final Map<String, List<ListedService>> latest = new HashMap<>();

	private final List<Waiter> waiters = new ArrayList<>();

	private final ScheduledExecutorService publisher = Executors
		.newSingleThreadScheduledExecutor(HostListStandin::newThread);

	private HostListFaults faults = HostListFaults.NONE;

	private long index = 1;

	/**
	 * Creates a host list and starts to listen.
	 * @param name the name
	 * @param address the IP number to listen on
	 * @param port the TCP port; 0 takes a free one
	 */
	public HostListStandin(String name, String address, int port) {
		this(name, address, port, 0);
	}

	/**
	 * Creates a host list and starts to listen.
	 * @param name the name
	 * @param address the IP number to listen on
	 * @param port the TCP port; 0 takes a free one
	 * @param controlPort the TCP port of control requests; 0 takes a free one
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
	 * Returns the counts of calls.
	 * @return the counts
	 */
	public CallCounts counts() {
		return this.counts;
	}

	/**
	 * Sets the hosts of a service; published after the lag.
	 * @param service the name of the service
	 * @param hosts all its hosts
	 */
	public synchronized void setHosts(String service, List<ListedService> hosts) {
		this.latest.put(service, List.copyOf(hosts));
		int lag = (this.faults.lagMillis() != null) ? this.faults.lagMillis() : 0;
		if (lag == 0) {
			publish(service, hosts);
		}
		else {
			this.publisher.schedule(() -> publish(service, hosts), lag, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Adds a host to a service or replaces the one of that name.
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
	 * Puts faults into effect in place of the earlier ones.
	 * @param next the faults
	 */
	public void setFaults(HostListFaults next) {
		synchronized (this) {
			this.faults = next;
		}
		this.server.setAvailability((next.availability() != null) ? next.availability() : Availability.UP);
	}

	@Override
	public void close() {
		this.server.close();
		this.publisher.shutdownNow();
	}

	private ControlRoutes routes() {
		return new ControlRoutes().add("GET", "counts", (rest, body) -> this.counts.all())
			.add("GET", "faults", (rest, body) -> currentFaults())
			.add("PUT", "faults", (rest, body) -> {
				setFaults(Json.read(body, HostListFaults.class));
				return null;
			})
			.add("PUT", "hosts/", (rest, body) -> {
				setHosts(rest, Arrays.asList(Json.read(body, ListedService[].class)));
				return null;
			})
			.add("GET", "hosts/", (rest, body) -> latestHosts(rest));
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
		for (Iterator<Waiter> all = this.waiters.iterator(); all.hasNext();) {
			Waiter waiter = all.next();
			if (waiter.service.equals(service)) {
				all.remove();
				waiter.exchange.getIoThread().execute(() -> answer(waiter.exchange, service));
			}
		}
	}

	private void handle(HttpServerExchange exchange) {
		if (!exchange.getRequestPath().startsWith(PATH)) {
			exchange.setStatusCode(StatusCodes.NOT_FOUND).endExchange();
			return;
		}
		String service = exchange.getRequestPath().substring(PATH.length());
		Integer delay = currentFaults().delayMillis();
		Exchanges.later(exchange, (delay != null) ? delay : 0, () -> read(exchange, service));
	}

	private void read(HttpServerExchange exchange, String service) {
		String indexText = parameter(exchange, "index");
		Waiter waiter = new Waiter(exchange, service);
		synchronized (this) {
			if (indexText != null && Long.parseLong(indexText) == publication(service).index()) {
				this.counts.increment("wait");
				this.waiters.add(waiter);
				long waitMillis = Durations.parseMillis(parameter(exchange, "wait"));
				Exchanges.park(exchange, () -> exchange.getIoThread()
					.executeAfter(() -> expire(waiter), waitMillis, TimeUnit.MILLISECONDS));
				return;
			}
		}
		this.counts.increment("get");
		answer(exchange, service);
	}

	private void expire(Waiter waiter) {
		synchronized (this) {
			if (!this.waiters.remove(waiter)) {
				return;
			}
		}
		answer(waiter.exchange, waiter.service);
	}

	private void answer(HttpServerExchange exchange, String service) {
		Publication publication;
		synchronized (this) {
			publication = publication(service);
		}
		exchange.getResponseHeaders().put(INDEX_HEADER, publication.index());
		Json.send(exchange, StatusCodes.OK, publication.hosts().stream().map((host) -> toJson(service, host)).toList());
	}

	private Publication publication(String service) {
		return this.published.getOrDefault(service, new Publication(List.of(), 1));
	}

	private static Map<String, Object> toJson(String service, ListedService host) {
		return Map.of("Node", Map.of("Node", host.host()), "Service",
				Map.of("Service", service, "Address", host.address(), "Port", host.port(), "Meta",
						Map.of("failure-domain", host.failureDomain(), "state", host.state())));
	}

	private static @Nullable String parameter(HttpServerExchange exchange, String parameter) {
		return exchange.getQueryParameters().containsKey(parameter)
				? exchange.getQueryParameters().get(parameter).peekFirst() : null;
	}

	private static Thread newThread(Runnable task) {
		Thread thread = new Thread(task, "host-list-publisher");
		thread.setDaemon(true);
		return thread;
	}

	private record Publication(List<ListedService> hosts, long index) {

	}

	private record Waiter(HttpServerExchange exchange, String service) {

	}

}
