package org.cyclamenstall.test.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.codec.digest.DigestUtils;
import org.cyclamenstall.catalogue.Catalogue;
import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.catalogue.CatalogueReplica;
import org.cyclamenstall.catalogue.CatalogueSummary;
import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.catalogue.IdempotencyKeyRequirement;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.claims.ClaimDecision;
import org.cyclamenstall.claims.ClaimRegistry;
import org.cyclamenstall.claims.ClaimRequest;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.gateway.CallerServer;
import org.cyclamenstall.internal.yaml.CheckedYamlReader;
import org.cyclamenstall.junit.ImmediateGrantController;
import org.cyclamenstall.junit.ScriptedUpstream;
import org.cyclamenstall.kernel.Closer;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.TrafficController;
import org.cyclamenstall.settings.DaemonSettings;

/**
 * Runs a caller server with a fixed catalogue and scripted upstreams.
 */
final class GatewayFixture implements AutoCloseable {

	static final String STREAMED_CHAT_BODY = "{\"model\":\"m\",\"stream\":true,\"messages\":[{\"content\":\"hello\"}]}";

	static final String BUFFERED_CHAT_BODY = "{\"model\":\"m\",\"messages\":[{\"content\":\"hello\"}]}";

	private static final String SETTINGS = """
			host: test
			failureDomain: domain
			callers: {address: 127.0.0.1, port: 0, maximumBodyBytes: 4096, requestReadSeconds: 2}
			operators: {address: 127.0.0.1, port: 0}
			peers: {address: 127.0.0.1, port: 0}
			platform:
			  store: {address: 127.0.0.1, port: 1}
			  hostList: {address: 127.0.0.1, port: 1}
			policy: {firstByteMillis: 60000, tokenGapMillis: 60000}
			""";

	private static final String API_KEY = "secret";

	private static final int POLL_MILLIS = 5;

	private static final int SOCKET_TIMEOUT_MILLIS = 20_000;

	private final Closer closer = new Closer();

	final ImmediateGrantController controller;

	final CallerServer server;

	final PrometheusRegistry metrics = new PrometheusRegistry();

	String apiKey = API_KEY;

	GatewayFixture(List<ScriptedUpstream> upstreams, List<ListedHost> unreachableHosts) {
		this(upstreams, unreachableHosts, (controller) -> controller, EventLog.NONE);
	}

	GatewayFixture(List<ScriptedUpstream> upstreams, List<ListedHost> unreachableHosts,
			UnaryOperator<TrafficController> decorator, EventLog events) {
		List<ListedHost> upstreamOrder = new ArrayList<>(unreachableHosts);
		upstreams.forEach((upstream) -> upstreamOrder.add(this.closer.register(upstream).listedHost()));
		this.controller = new ImmediateGrantController(upstreamOrder);
		DaemonSettings settings = new CheckedYamlReader(ErrorKind.SETTINGS_INVALID).read(SETTINGS, "test",
				DaemonSettings.class);
		this.server = this.closer
			.register(new CallerServer(settings, 1, new FixedCatalogue(), decorator.apply(this.controller),
					new UnavailableClaimRegistry(), MonotonicClock.SYSTEM, this.metrics, events));
		this.server.start();
	}

	static GatewayFixture withUpstreams(ScriptedUpstream.Script... scripts) throws IOException {
		List<ScriptedUpstream> upstreams = new ArrayList<>();
		for (ScriptedUpstream.Script script : scripts) {
			upstreams.add(new ScriptedUpstream(script));
		}
		return new GatewayFixture(upstreams, List.of());
	}

	/**
	 * Waits until the server has received the headers of a request.
	 */
	void awaitOpenRequest() throws InterruptedException {
		while (this.server.openRequests() == 0) {
			TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
		}
	}

	/**
	 * Waits until an attempt has ended with the given result.
	 */
	void awaitResult(AttemptResult result) throws InterruptedException {
		while (!this.controller.attemptResults().contains(result)) {
			TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
		}
	}

	Socket connect() throws IOException {
		Socket socket = this.closer
			.register(new Socket(this.server.address().getAddress(), this.server.address().getPort()));
		socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
		return socket;
	}

	Socket send(String method, String path, String body, String... headers) throws IOException {
		Socket socket = connect();
		String requestHeaders = method + " " + path + " HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer " + this.apiKey
				+ "\r\nContent-Length: " + body.length() + "\r\n"
				+ String.join("", List.of(headers).stream().map((line) -> line + "\r\n").toList()) + "\r\n";
		socket.getOutputStream().write((requestHeaders + body).getBytes(StandardCharsets.UTF_8));
		return socket;
	}

	/**
	 * Sends a request and reads until the server closes the connection.
	 */
	String call(String method, String path, String body, String... headers) throws IOException {
		List<String> allHeaders = new ArrayList<>(List.of(headers));
		allHeaders.add("Connection: close");
		try (Socket socket = send(method, path, body, allHeaders.toArray(String[]::new));
				InputStream input = socket.getInputStream()) {
			return new String(input.readAllBytes(), StandardCharsets.UTF_8);
		}
	}

	String scrape() throws IOException {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		PrometheusTextFormatWriter.create().write(output, this.metrics.scrape());
		return output.toString(StandardCharsets.UTF_8);
	}

	String chat(String body) throws IOException {
		return call("POST", "/v1/chat/completions", body);
	}

	@Override
	public void close() {
		this.closer.close();
	}

	private static CatalogueEntry entry(EntryKind kind, String name, String model, String pathPrefix,
			List<String> keyHashes) {
		return new CatalogueEntry(name, kind, "owner", Tier.INTERACTIVE, null, "scripted", model, null, null,
				(model != null) ? Boolean.TRUE : null, pathPrefix, (pathPrefix != null) ? Set.of("GET") : null,
				(pathPrefix != null) ? IdempotencyKeyRequirement.OPTIONAL : null,
				(pathPrefix != null) ? Set.of(503) : null, keyHashes,
				(keyHashes != null) ? Set.of("chat", "ledger") : null);
	}

	private static final class FixedCatalogue implements CatalogueReplica {

		private final Catalogue catalogue = new Catalogue(Map.of("chat",
				record(entry(EntryKind.MODEL, "chat", "m", null, null)), "ledger",
				record(entry(EntryKind.SERVICE, "ledger", null, "/ledger", null)), "account",
				record(entry(EntryKind.ACCOUNT, "account", null, null, List.of(DigestUtils.sha256Hex(API_KEY))))));

		private static CatalogueRecord record(CatalogueEntry entry) {
			return new CatalogueRecord(entry.name(), 1, "edit", "operator", 0, entry);
		}

		@Override
		public Catalogue current() {
			return this.catalogue;
		}

		@Override
		public void addListener(Consumer<Catalogue> listener) {
		}

		@Override
		public boolean isLoaded() {
			return true;
		}

		@Override
		public CatalogueSummary summary() {
			return new CatalogueSummary(1, 1);
		}

		@Override
		public List<CatalogueRecord> recordsAfter(long revision) {
			return List.of();
		}

		@Override
		public int offer(Collection<CatalogueRecord> records, String source) {
			return 0;
		}

	}

	private static final class UnavailableClaimRegistry implements ClaimRegistry {

		@Override
		public ClaimDecision claim(ClaimRequest request) {
			return new ClaimDecision.Refused(ErrorKind.CLAIM_STORE_UNAVAILABLE, "no store in this test");
		}

	}

}
