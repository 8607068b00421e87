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
 * Measures what one daemon adds to a call and what a request and a relayed token cost it
 * in processor time. The stand-ins and the callers run in this process; the daemon is a
 * process of its own whose processor time the operating system counts.
 */
public final class GatewayBench {

	private static final String KEY = "bench-key";

	private static final int WARM_UP_CALLS = 5_000;

	private static final int MEASURED_CALLS = 10_000;

	private static final Duration THROUGHPUT_TIME = Duration.ofSeconds(10);

	private static final int CALL_CONNECTIONS = 32;

	private static final int STREAMS = 100;

	private static final int STREAM_TOKENS = 200;

	private static final double NANOS_PER_MILLISECOND = 1e6;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long MAXIMUM_NANOS = 10_000_000_000L;

	private static final EngineOptions ENGINE = new EngineOptions(STREAMS, 1_000, 20.0, 0.01, 1e7, null, 100, null,
			null, null);

	private final PrintStream out = System.out;

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final Site site;

	private GatewayBench(Site site) {
		this.site = site;
	}

	/**
	 * Runs the bench; takes about one minute.
	 * @param arguments none
	 * @throws Exception if a call fails
	 */
	public static void main(String[] arguments) throws Exception {
		System.setProperty(JavaProcess.FLAGS_PROPERTY, "-Xmx128m");
		SiteSettings settings = SiteSettings.SMALL.withDaemons(1).withEngineOptions(ENGINE);
		try (Site site = new SiteLauncher(settings).call()) {
			new GatewayBench(site).run();
		}
	}

	private void run() throws Exception {
		putEntries();
		HttpRequest direct = lookup(serviceAddress());
		HttpRequest routed = lookup(this.site.daemon(0).callers());
		measureLatency(direct, routed);
		measureCalls(routed);
		measureStreams();
	}

	private void putEntries() {
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
				""".formatted(DigestUtils.sha256Hex(KEY)));
	}

	private InetSocketAddress serviceAddress() {
		ServiceStandin service = this.site.services().get(0).standin();
		return new InetSocketAddress(service.address(), service.port());
	}

	private static HttpRequest lookup(InetSocketAddress address) {
		return request(address, "/bench/1").GET().build();
	}

	private static HttpRequest.Builder request(InetSocketAddress address, String path) {
		return HttpRequest
			.newBuilder(URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort() + path))
			.header("Authorization", "Bearer " + KEY);
	}

	private void measureLatency(HttpRequest direct, HttpRequest routed) throws Exception {
		Histogram directTimes = new Histogram(MAXIMUM_NANOS, 3);
		Histogram routedTimes = new Histogram(MAXIMUM_NANOS, 3);
		for (int call = 0; call < WARM_UP_CALLS + MEASURED_CALLS; call++) {
			long directNanos = timed(direct);
			long routedNanos = timed(routed);
			if (call >= WARM_UP_CALLS) {
				directTimes.recordValue(directNanos);
				routedTimes.recordValue(routedNanos);
			}
		}
		for (double percentile : new double[] { 50, 99 }) {
			double before = directTimes.getValueAtPercentile(percentile) / NANOS_PER_MILLISECOND;
			double after = routedTimes.getValueAtPercentile(percentile) / NANOS_PER_MILLISECOND;
			this.out.printf(Locale.ROOT, "lookup p%.0f: direct %.3f ms, routed %.3f ms, added %.3f ms%n", percentile,
					before, after, after - before);
		}
	}

	private long timed(HttpRequest request) throws IOException, InterruptedException {
		long start = System.nanoTime();
		check(this.client.send(request, HttpResponse.BodyHandlers.ofByteArray()).statusCode());
		return System.nanoTime() - start;
	}

	private void measureCalls(HttpRequest routed) throws InterruptedException {
		AtomicLong calls = new AtomicLong();
		double seconds = processorSeconds(CALL_CONNECTIONS, () -> {
			timed(routed);
			calls.incrementAndGet();
		});
		this.out.printf(Locale.ROOT, "lookups: %d in %d s over %d connections; %.1f per second of processor time%n",
				calls.get(), THROUGHPUT_TIME.toSeconds(), CALL_CONNECTIONS, calls.get() / seconds);
	}

	private void measureStreams() throws InterruptedException {
		HttpRequest request = request(this.site.daemon(0).callers(), "/v1/chat/completions")
			.POST(HttpRequest.BodyPublishers.ofString("{\"model\":\"bench\",\"stream\":true,\"standin_tokens\":"
					+ STREAM_TOKENS + ",\"messages\":[{\"role\":\"user\",\"content\":\"bench\"}]}"))
			.build();
		processorSeconds(STREAMS, () -> countTokens(request));
		AtomicLong tokens = new AtomicLong();
		double seconds = processorSeconds(STREAMS, () -> tokens.addAndGet(countTokens(request)));
		this.out.printf(Locale.ROOT,
				"streams: %d tokens over %d streams; %.2f s of processor time, %.1f per second of it%n", tokens.get(),
				STREAMS, seconds, tokens.get() / seconds);
	}

	private long countTokens(HttpRequest request) throws IOException, InterruptedException {
		HttpResponse<Stream<String>> response = this.client.send(request, HttpResponse.BodyHandlers.ofLines());
		check(response.statusCode());
		return response.body().filter((line) -> line.contains("\"content\"")).count();
	}

	private double processorSeconds(int threads, Call call) throws InterruptedException {
		long end = System.nanoTime() + THROUGHPUT_TIME.toNanos();
		Duration before = processorTime();
		List<Thread> callers = new ArrayList<>();
		for (int index = 0; index < threads; index++) {
			Thread caller = new Thread(() -> repeat(call, end), "caller-" + index);
			caller.start();
			callers.add(caller);
		}
		for (Thread caller : callers) {
			caller.join();
		}
		return processorTime().minus(before).toNanos() / NANOS_PER_SECOND;
	}

	private Duration processorTime() {
		return ProcessHandle.of(this.site.daemon(0).process().pid())
			.flatMap((handle) -> handle.info().totalCpuDuration())
			.orElseThrow();
	}

	private static void repeat(Call call, long end) {
		while (System.nanoTime() - end < 0) {
			try {
				call.run();
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

	private static void check(int status) {
		if (status != 200) {
			throw new IllegalStateException("A call was answered " + status);
		}
	}

	/**
	 * Makes one call.
	 */
	@FunctionalInterface
	private interface Call {

		void run() throws IOException, InterruptedException;

	}

}
