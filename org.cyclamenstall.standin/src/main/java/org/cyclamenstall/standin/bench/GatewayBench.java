package org.cyclamenstall.standin.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

import org.HdrHistogram.Histogram;
import org.apache.commons.codec.digest.DigestUtils;
import org.cyclamenstall.standin.engine.EngineOptions;
import org.cyclamenstall.standin.service.ServiceStandin;
import org.cyclamenstall.standin.site.JavaProcess;
import org.cyclamenstall.standin.site.Site;
import org.cyclamenstall.standin.site.SiteLauncher;
import org.cyclamenstall.standin.site.SiteSettings;

/**
 * Measures the latency that a daemon adds to a call, and its CPU time per request and per
 * relayed token. The stand-ins and the callers run in this process. The daemon runs in
 * its own process, so that the operating system reports its CPU time separately.
 */
public final class GatewayBench {

	private static final String API_KEY = "bench-key";

	private static final int WARM_UP_CALLS = 5_000;

	private static final int MEASURED_CALLS = 10_000;

	private static final Duration MEASUREMENT_TIME = Duration.ofSeconds(10);

	private static final int LOOKUP_CONNECTIONS = 32;

	private static final int STREAMS = 100;

	private static final int STREAM_TOKENS = 200;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long HIGHEST_TRACKABLE_NANOS = 10_000_000_000L;

	private static final EngineOptions ENGINE_OPTIONS = new EngineOptions(STREAMS, 1_000, 20.0, 0.01, 1e7, null, 100,
			null, null, null);

	private final PrintStream out = System.out;

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final Site site;

	private GatewayBench(Site site) {
		this.site = site;
	}

	/**
	 * Runs the benchmark, which takes about one minute.
	 * @param arguments ignored
	 * @throws Exception if a call fails
	 */
	public static void main(String[] arguments) throws Exception {
		System.setProperty(JavaProcess.FLAGS_PROPERTY, "-Xmx128m");
		SiteSettings settings = SiteSettings.SMALL.withDaemons(1).withEngineOptions(ENGINE_OPTIONS);
		try (Site site = new SiteLauncher(settings).start()) {
			new GatewayBench(site).run();
		}
	}

	private void run() throws Exception {
		putCatalogueEntries();
		HttpRequest direct = lookupRequest(serviceAddress());
		HttpRequest routed = lookupRequest(this.site.daemon(0).callerAddress());
		measureLatency(direct, routed);
		measureLookupThroughput(routed);
		measureStreams();
	}

	private void putCatalogueEntries() {
		this.site.putEntry("bench-orders", """
				name: bench-orders
				kind: service
				owner: bench
				class: interactive
				upstreams: ghiseu
				pathPrefix: /bench
				idempotentMethods: [GET]
				""");
		this.site.putEntry("bench-chat", """
				name: bench-chat
				kind: model
				owner: bench
				class: interactive
				upstreams: cuptor
				model: bench
				resumable: true
				""");
		this.site.putEntry("bench-account", """
				name: bench-account
				kind: account
				owner: bench
				class: interactive
				keyHashes: [%s]
				entries: [bench-orders, bench-chat]
				""".formatted(DigestUtils.sha256Hex(API_KEY)));
	}

	private InetSocketAddress serviceAddress() {
		ServiceStandin service = this.site.services().get(0).standin();
		return new InetSocketAddress(service.address(), service.port());
	}

	private static HttpRequest lookupRequest(InetSocketAddress address) {
		return request(address, "/bench/1").GET().build();
	}

	private static HttpRequest.Builder request(InetSocketAddress address, String path) {
		return HttpRequest
			.newBuilder(URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort() + path))
			.header("Authorization", "Bearer " + API_KEY);
	}

	private void measureLatency(HttpRequest direct, HttpRequest routed) throws Exception {
		Histogram directTimes = new Histogram(HIGHEST_TRACKABLE_NANOS, 3);
		Histogram routedTimes = new Histogram(HIGHEST_TRACKABLE_NANOS, 3);
		for (int call = 0; call < WARM_UP_CALLS + MEASURED_CALLS; call++) {
			long directNanos = sendAndMeasureNanos(direct);
			long routedNanos = sendAndMeasureNanos(routed);
			if (call >= WARM_UP_CALLS) {
				directTimes.recordValue(directNanos);
				routedTimes.recordValue(routedNanos);
			}
		}
		for (double percentile : new double[] { 50, 99 }) {
			double directMillis = directTimes.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
			double routedMillis = routedTimes.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
			this.out.printf(Locale.ROOT, "lookup p%.0f: direct %.3f ms, routed %.3f ms, added %.3f ms%n", percentile,
					directMillis, routedMillis, routedMillis - directMillis);
		}
	}

	private long sendAndMeasureNanos(HttpRequest request) throws IOException, InterruptedException {
		long start = System.nanoTime();
		requireOk(this.client.send(request, HttpResponse.BodyHandlers.ofByteArray()).statusCode());
		return System.nanoTime() - start;
	}

	private void measureLookupThroughput(HttpRequest routed) throws InterruptedException {
		AtomicLong calls = new AtomicLong();
		double seconds = measureCpuSeconds(LOOKUP_CONNECTIONS, () -> {
			sendAndMeasureNanos(routed);
			calls.incrementAndGet();
		});
		this.out.printf(Locale.ROOT, "lookups: %d in %d s over %d connections; %.1f per second of processor time%n",
				calls.get(), MEASUREMENT_TIME.toSeconds(), LOOKUP_CONNECTIONS, calls.get() / seconds);
	}

	private void measureStreams() throws InterruptedException {
		HttpRequest request = request(this.site.daemon(0).callerAddress(), "/v1/chat/completions")
			.POST(HttpRequest.BodyPublishers.ofString("{\"model\":\"bench\",\"stream\":true,\"standin_tokens\":"
					+ STREAM_TOKENS + ",\"messages\":[{\"role\":\"user\",\"content\":\"bench\"}]}"))
			.build();
		// Warms up the daemon.
		measureCpuSeconds(STREAMS, () -> sendAndCountTokens(request));
		AtomicLong tokens = new AtomicLong();
		double seconds = measureCpuSeconds(STREAMS, () -> tokens.addAndGet(sendAndCountTokens(request)));
		this.out.printf(Locale.ROOT,
				"streams: %d tokens over %d streams; %.2f s of processor time, %.1f per second of it%n", tokens.get(),
				STREAMS, seconds, tokens.get() / seconds);
	}

	private long sendAndCountTokens(HttpRequest request) throws IOException, InterruptedException {
		HttpResponse<Stream<String>> response = this.client.send(request, HttpResponse.BodyHandlers.ofLines());
		requireOk(response.statusCode());
		return response.body().filter((line) -> line.contains("\"content\"")).count();
	}

	private double measureCpuSeconds(int threads, Call call) throws InterruptedException {
		long endNanos = System.nanoTime() + MEASUREMENT_TIME.toNanos();
		Duration cpuTimeBefore = cpuTime();
		List<Thread> callers = new ArrayList<>();
		for (int index = 0; index < threads; index++) {
			Thread caller = new Thread(() -> repeat(call, endNanos), "caller-" + index);
			caller.start();
			callers.add(caller);
		}
		for (Thread caller : callers) {
			caller.join();
		}
		return cpuTime().minus(cpuTimeBefore).toNanos() / NANOS_PER_SECOND;
	}

	private Duration cpuTime() {
		return ProcessHandle.of(this.site.daemon(0).process().pid())
			.flatMap((handle) -> handle.info().totalCpuDuration())
			.orElseThrow();
	}

	private static void repeat(Call call, long endNanos) {
		while (System.nanoTime() - endNanos < 0) {
			try {
				call.run();
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

	private static void requireOk(int status) {
		if (status != 200) {
			throw new IllegalStateException("Unexpected response status " + status);
		}
	}

	/**
	 * Call to measure.
	 */
	@FunctionalInterface
	private interface Call {

		void run() throws IOException, InterruptedException;

	}

}
