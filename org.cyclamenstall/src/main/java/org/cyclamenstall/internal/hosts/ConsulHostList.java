package org.cyclamenstall.internal.hosts;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.hosts.HostList;
import org.cyclamenstall.hosts.HostSnapshot;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.http.BlockingHttpClient;
import org.cyclamenstall.internal.http.HttpCall;
import org.cyclamenstall.internal.http.HttpResponse;
import org.cyclamenstall.internal.http.HttpResponseState;
import org.cyclamenstall.kernel.Service;
import org.cyclamenstall.settings.HostListSettings;

/**
 * Reads the platform's list of hosts from Consul, with one blocking query at a time for
 * each watched service. The last list of a service is kept when a query fails or its
 * response is malformed. It is also kept when a response lists no hosts, because an empty
 * list is more likely a fault of the platform than the removal of the service. Both cases
 * are counted. Listeners are called on the reader threads, one at a time. Thread-safe.
 */
public final class ConsulHostList implements HostList, Service {

	private static final Logger logger = LogManager.getLogger(ConsulHostList.class);

	private static final Duration BLOCKING_QUERY_WAIT = Duration.ofSeconds(2);

	private static final int STATUS_OK = 200;

	private static final TypeReference<List<ConsulHost>> HOST_LIST_TYPE = new TypeReference<>() {
	};

	private final ObjectMapper mapper = new ObjectMapper();

	private final Map<String, ServiceReader> readers = new HashMap<>();

	private final List<Consumer<HostSnapshot>> listeners = new CopyOnWriteArrayList<>();

	private final HostListSettings settings;

	private final BlockingHttpClient client;

	private final UniformRandomProvider random;

	private final Counter reads;

	private volatile HostSnapshot snapshot = HostSnapshot.EMPTY;

	private boolean started;

	private volatile boolean closed;

	/**
	 * Creates a host list without watched services.
	 * @param settings the settings of the host list
	 * @param metrics the metrics registry
	 * @param random the random number generator for jitter
	 */
	public ConsulHostList(HostListSettings settings, PrometheusRegistry metrics, UniformRandomProvider random) {
		this.settings = settings;
		this.random = random;
		this.client = new BlockingHttpClient("host-list", new InetSocketAddress(settings.address(), settings.port()));
		this.reads = Counter.builder()
			.name("cyclamenstall_host_list_reads_total")
			.help("Reads of the host list, by service and result")
			.labelNames("service", "result")
			.register(metrics);
		GaugeWithCallback.builder()
			.name("cyclamenstall_host_list_age_seconds")
			.help("Time since the host list of a service was last read")
			.labelNames("service")
			.callback((callback) -> secondsSinceLastRead().forEach((service, age) -> callback.call(age, service)))
			.register(metrics);
	}

	@Override
	public HostSnapshot current() {
		return this.snapshot;
	}

	@Override
	public void addListener(Consumer<HostSnapshot> listener) {
		this.listeners.add(listener);
	}

	@Override
	public synchronized void watch(String service) {
		if (this.readers.containsKey(service)) {
			return;
		}
		ServiceReader reader = new ServiceReader(service);
		this.readers.put(service, reader);
		if (this.started) {
			reader.thread.start();
		}
	}

	/**
	 * Returns the number of reads of a service with a given result.
	 * @param service the name of the service
	 * @param result the value of the metric label {@code result}
	 * @return the number of reads since the start
	 */
	public double readCount(String service, String result) {
		return this.reads.labelValues(service, result).get();
	}

	@Override
	public synchronized void start() {
		this.started = true;
		this.readers.values().forEach((reader) -> reader.thread.start());
	}

	@Override
	public synchronized void close() {
		this.closed = true;
		this.readers.values().forEach((reader) -> reader.thread.interrupt());
		this.client.close();
	}

	private synchronized Map<String, Double> secondsSinceLastRead() {
		Map<String, Double> secondsSinceLastRead = new HashMap<>();
		this.readers.forEach((service, reader) -> secondsSinceLastRead.put(service,
				(System.nanoTime() - reader.lastReadNanos) / 1e9));
		return secondsSinceLastRead;
	}

	private synchronized long withJitter(long millis) {
		return millis / 2 + this.random.nextLong(millis);
	}

	private synchronized void publish(String service, List<ListedHost> hosts) {
		if (this.snapshot.hosts(service).equals(hosts)) {
			return;
		}
		Map<String, List<ListedHost>> hostsByService = new HashMap<>(this.snapshot.hostsByService());
		hostsByService.put(service, List.copyOf(hosts));
		this.snapshot = new HostSnapshot(Map.copyOf(hostsByService));
		for (Consumer<HostSnapshot> listener : this.listeners) {
			try {
				listener.accept(this.snapshot);
			}
			catch (RuntimeException ex) {
				logger.error("Host list listener failed", ex);
			}
		}
	}

	/**
	 * Reads the hosts of one service on a dedicated thread.
	 */
	private final class ServiceReader implements Runnable {

		private final String service;

		private final Thread thread;

		private volatile long lastReadNanos = System.nanoTime();

		private long index;

		ServiceReader(String service) {
			this.service = service;
			this.thread = new Thread(this, "host-list-" + service);
			this.thread.setDaemon(true);
		}

		@Override
		public void run() {
			while (!ConsulHostList.this.closed) {
				long startNanos = System.nanoTime();
				boolean succeeded = readOnce();
				long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
				delayNextRead(succeeded, elapsedMillis);
			}
		}

		private boolean readOnce() {
			HttpResponse response = ConsulHostList.this.client.call(HttpCall.get(path(), timeout()));
			try {
				String result = handleResponse(response);
				ConsulHostList.this.reads.labelValues(this.service, result).inc();
				return "answered".equals(result);
			}
			catch (IOException | RuntimeException ex) {
				logger.warn("Kept the last host list of service {}: malformed response: {}", this.service,
						ex.getMessage());
				ConsulHostList.this.reads.labelValues(this.service, "malformed").inc();
				this.index = 0;
				return false;
			}
		}

		private String handleResponse(HttpResponse response) throws IOException {
			if (response.state() != HttpResponseState.ANSWERED) {
				this.index = 0;
				return "unavailable";
			}
			if (response.status() != STATUS_OK) {
				this.index = 0;
				return "refused";
			}
			List<ListedHost> hosts = parse(response.body());
			updateIndex(response);
			this.lastReadNanos = System.nanoTime();
			if (hosts.isEmpty() && !ConsulHostList.this.snapshot.hosts(this.service).isEmpty()) {
				logger.warn("Kept the last host list of service {}: the platform returned an empty list", this.service);
				return "emptied";
			}
			publish(this.service, hosts);
			return "answered";
		}

		private List<ListedHost> parse(byte[] body) throws IOException {
			List<ListedHost> hosts = new ArrayList<>();
			for (ConsulHost host : ConsulHostList.this.mapper.readValue(body, HOST_LIST_TYPE)) {
				hosts.add(host.toListedHost(this.service));
			}
			hosts.sort(Comparator.comparing(ListedHost::host).thenComparing(ListedHost::port));
			return hosts;
		}

		private void updateIndex(HttpResponse response) {
			long newIndex = Long.parseLong(response.headers().getOrDefault("x-consul-index", "0"));
			this.index = (newIndex < this.index) ? 0 : newIndex;
		}

		private void delayNextRead(boolean succeeded, long elapsedMillis) {
			long pollMillis = ConsulHostList.this.settings.pollMillis();
			boolean queryBlocked = succeeded && this.index > 0 && elapsedMillis >= pollMillis;
			try {
				TimeUnit.MILLISECONDS.sleep(queryBlocked ? 0 : withJitter(pollMillis));
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		private Duration timeout() {
			Duration requestTimeout = Duration.ofMillis(ConsulHostList.this.settings.timeoutMillis());
			return (this.index > 0) ? requestTimeout.plus(BLOCKING_QUERY_WAIT) : requestTimeout;
		}

		private String path() {
			String path = "/v1/health/service/" + URLEncoder.encode(this.service, StandardCharsets.UTF_8);
			return (this.index > 0) ? path + "?index=" + this.index + "&wait=" + BLOCKING_QUERY_WAIT.toMillis() + "ms"
					: path;
		}

	}

}
