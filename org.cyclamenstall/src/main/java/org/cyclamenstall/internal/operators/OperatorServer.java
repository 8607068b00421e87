package org.cyclamenstall.internal.operators;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.PathTemplateMatch;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.catalogue.CatalogueReplica;
import org.cyclamenstall.catalogue.CatalogueSummary;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.ErrorResponse;
import org.cyclamenstall.errors.ErrorTable;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.catalogue.CatalogueStore;
import org.cyclamenstall.internal.yaml.InvalidYamlException;
import org.cyclamenstall.internal.yaml.YamlProblem;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.kernel.Service;
import org.cyclamenstall.lib.HeaderNames;
import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.peers.Membership;
import org.cyclamenstall.settings.OperatorSettings;
import org.cyclamenstall.store.ConfigurationStore;
import org.jspecify.annotations.Nullable;

/**
 * Serves the operator port: health, readiness, metrics, the catalogue and the state of
 * the daemon. All paths except health and readiness require the operator token if one is
 * configured. Thread-safe.
 */
public final class OperatorServer implements Service {

	private static final Logger logger = LogManager.getLogger(OperatorServer.class);

	private static final int IO_THREADS = 1;

	private static final int WORKER_THREADS = 16;

	private static final long MAXIMUM_BODY_BYTES = 1_048_576;

	private static final int REQUEST_PARSE_TIMEOUT_MILLIS = 10_000;

	private static final int IDLE_TIMEOUT_MILLIS = 60_000;

	private static final int STATUS_UNAVAILABLE = 503;

	private static final long MAXIMUM_WAIT_MILLIS = 30_000;

	private static final long DEFAULT_WAIT_MILLIS = 5_000;

	private static final int MAXIMUM_HEADER_VALUE_LENGTH = 128;

	private static final HttpString EDIT_ID_HEADER = new HttpString("X-Edit-Id");

	private static final HttpString OPERATOR_HEADER = new HttpString("X-Operator");

	private final ObjectMapper mapper = new ObjectMapper();

	private final OperatorSettings settings;

	private final PrometheusRegistry metrics;

	private final CatalogueReplica replica;

	private final CatalogueResource catalogue;

	private final Membership membership;

	private final ReadinessProbe readiness;

	private final UpstreamReport upstreams;

	private final Counter requests;

	private @Nullable OperatorToken token;

	private @Nullable Undertow server;

	/**
	 * Creates a server.
	 * @param settings the settings of the operator port
	 * @param storePrefix the prefix of all keys of the deployment in the store
	 * @param store the store
	 * @param replica the replica of the catalogue on this daemon
	 * @param membership the daemons of the deployment
	 * @param readiness the readiness of the daemon
	 * @param upstreams the upstreams of the daemon
	 * @param metrics the metrics registry to expose, which also receives the server's own
	 * counters
	 * @param clock the clock that measures wait times
	 * @param random the source of retry jitter
	 */
	public OperatorServer(OperatorSettings settings, String storePrefix, ConfigurationStore store,
			CatalogueReplica replica, Membership membership, ReadinessProbe readiness, UpstreamReport upstreams,
			PrometheusRegistry metrics, MonotonicClock clock, UniformRandomProvider random) {
		this.settings = settings;
		this.metrics = metrics;
		this.replica = replica;
		this.membership = membership;
		this.readiness = readiness;
		this.upstreams = upstreams;
		this.catalogue = new CatalogueResource(new CatalogueStore(store, storePrefix), replica, membership, clock,
				random);
		this.requests = Counter.builder()
			.name("cyclamenstall_operator_requests_total")
			.help("Requests to the operator port, by result")
			.labelNames("result")
			.register(metrics);
	}

	@Override
	public void start() {
		this.token = OperatorToken.read(this.settings);
		this.server = Undertow.builder()
			.addHttpListener(this.settings.port(), this.settings.address())
			.setIoThreads(IO_THREADS)
			.setWorkerThreads(WORKER_THREADS)
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAXIMUM_BODY_BYTES)
			.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_PARSE_TIMEOUT_MILLIS)
			.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
			.setServerOption(UndertowOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MILLIS)
			.setHandler(routes())
			.build();
		this.server.start();
	}

	@Override
	public void close() {
		if (this.server != null) {
			this.server.stop();
		}
	}

	/**
	 * Returns the address that the server listens on. The server must be started.
	 * @return the address, with the port that was assigned if the settings name port 0
	 */
	public InetSocketAddress address() {
		Undertow startedServer = Objects.requireNonNull(this.server);
		return (InetSocketAddress) startedServer.getListenerInfo().get(0).getAddress();
	}

	private RoutingHandler routes() {
		return new RoutingHandler().get("/health", unauthenticated((exchange) -> sendText(exchange, 200, "ok\n")))
			.get("/ready", unauthenticated(this::sendReadiness))
			.get("/metrics", authenticated(this::sendMetrics))
			.get("/v1/status", authenticated((exchange) -> sendJson(exchange, 200, status())))
			.get("/v1/hosts", authenticated((exchange) -> sendJson(exchange, 200, hosts())))
			.get("/v1/upstreams", authenticated((exchange) -> sendJson(exchange, 200, upstreams())))
			.get("/v1/catalogue", authenticated((exchange) -> sendJson(exchange, 200, this.catalogue.list())))
			.get("/v1/in-force/{revision}", authenticated((exchange) -> sendJson(exchange, 200, inForce(exchange))))
			.get("/v1/catalogue/{name}", authenticated(
					(exchange) -> sendJson(exchange, 200, this.catalogue.show(pathParameter(exchange, "name")))))
			.get("/v1/catalogue/{name}/history", authenticated(
					(exchange) -> sendJson(exchange, 200, this.catalogue.history(pathParameter(exchange, "name")))))
			.put("/v1/catalogue/{name}", authenticated((exchange) -> sendJson(exchange, 200, put(exchange))))
			.delete("/v1/catalogue/{name}", authenticated((exchange) -> sendJson(exchange, 200, delete(exchange))))
			.setFallbackHandler(unauthenticated((exchange) -> sendFailure(exchange,
					new OperatorRequestException(ErrorKind.UNKNOWN_ROUTE, "no such path"))))
			.setInvalidMethodHandler(unauthenticated(
					(exchange) -> sendFailure(exchange, new OperatorRequestException(ErrorKind.METHOD_NOT_ALLOWED,
							"the path does not support this method"))));
	}

	private BlockingHandler unauthenticated(Action action) {
		return new BlockingHandler((exchange) -> handle(action, exchange));
	}

	private BlockingHandler authenticated(Action action) {
		return unauthenticated((exchange) -> {
			String authorization = exchange.getRequestHeaders().getFirst(HeaderNames.AUTHORIZATION);
			if (!Objects.requireNonNull(this.token).allows(authorization)) {
				throw new OperatorRequestException(ErrorKind.OPERATOR_UNAUTHORIZED,
						"the operator token is missing or wrong");
			}
			action.run(exchange);
		});
	}

	private void handle(Action action, HttpServerExchange exchange) throws IOException {
		try {
			action.run(exchange);
			this.requests.labelValues("answered").inc();
		}
		catch (RouterException ex) {
			this.requests.labelValues(ex.kind().code()).inc();
			sendFailure(exchange, ex);
		}
		catch (IOException | RuntimeException ex) {
			logger.error("Operator request failed", ex);
			this.requests.labelValues(ErrorKind.INTERNAL.code()).inc();
			sendFailure(exchange,
					new OperatorRequestException(ErrorKind.INTERNAL, "internal error; see the log of the daemon"));
		}
	}

	private OperatorResponses.Accepted put(HttpServerExchange exchange) throws IOException {
		byte[] body = exchange.getInputStream().readAllBytes();
		return this.catalogue.put(pathParameter(exchange, "name"), body, editParameters(exchange));
	}

	private OperatorResponses.Accepted delete(HttpServerExchange exchange) {
		return this.catalogue.delete(pathParameter(exchange, "name"), editParameters(exchange));
	}

	private OperatorResponses.InForce inForce(HttpServerExchange exchange) {
		long revision = parseNumber("revision", pathParameter(exchange, "revision"));
		return this.catalogue.inForce(revision, maximumWait(exchange));
	}

	private OperatorResponses.Status status() {
		Member self = this.membership.self();
		Readiness current = this.readiness.readiness();
		CatalogueSummary summary = this.replica.summary();
		long liveHosts = this.membership.members()
			.stream()
			.filter((member) -> member.state() == MemberState.ALIVE)
			.count();
		return new OperatorResponses.Status(self.host(), self.failureDomain(), self.incarnation(), current.ready(),
				current.reason(), summary.revision(), Long.toHexString(summary.digest()), liveHosts);
	}

	private OperatorResponses.Hosts hosts() {
		return new OperatorResponses.Hosts(this.membership.members());
	}

	private OperatorResponses.Upstreams upstreams() {
		return new OperatorResponses.Upstreams(this.upstreams.rows());
	}

	private EditParameters editParameters(HttpServerExchange exchange) {
		String operator = headerValue(exchange, OPERATOR_HEADER);
		String expected = queryParameter(exchange, "expected-revision");
		return new EditParameters(headerValue(exchange, EDIT_ID_HEADER), (operator != null) ? operator : "unknown",
				(expected != null) ? Long.valueOf(parseNumber("expected-revision", expected)) : null,
				maximumWait(exchange));
	}

	private static @Nullable String headerValue(HttpServerExchange exchange, HttpString name) {
		String value = exchange.getRequestHeaders().getFirst(name);
		if (value != null && (value.isBlank() || value.length() > MAXIMUM_HEADER_VALUE_LENGTH)) {
			throw new OperatorRequestException(ErrorKind.MALFORMED_REQUEST,
					name + " must have 1 to " + MAXIMUM_HEADER_VALUE_LENGTH + " characters");
		}
		return value;
	}

	private static Duration maximumWait(HttpServerExchange exchange) {
		String wait = queryParameter(exchange, "wait-millis");
		long millis = (wait != null) ? parseNumber("wait-millis", wait) : DEFAULT_WAIT_MILLIS;
		return Duration.ofMillis(Math.min(MAXIMUM_WAIT_MILLIS, millis));
	}

	private static long parseNumber(String name, String text) {
		try {
			long value = Long.parseLong(text);
			if (value >= 0) {
				return value;
			}
		}
		catch (NumberFormatException ex) {
			logger.debug("Parameter {} is not a number", name);
		}
		throw new OperatorRequestException(ErrorKind.MALFORMED_REQUEST, name + " must be a non-negative number");
	}

	private static String pathParameter(HttpServerExchange exchange, String name) {
		return exchange.getAttachment(PathTemplateMatch.ATTACHMENT_KEY).getParameters().get(name);
	}

	private static @Nullable String queryParameter(HttpServerExchange exchange, String name) {
		return (exchange.getQueryParameters().get(name) != null) ? exchange.getQueryParameters().get(name).peekFirst()
				: null;
	}

	private void sendReadiness(HttpServerExchange exchange) {
		Readiness current = this.readiness.readiness();
		sendText(exchange, current.ready() ? 200 : STATUS_UNAVAILABLE,
				current.ready() ? "ready\n" : current.reason() + "\n");
	}

	private void sendMetrics(HttpServerExchange exchange) throws IOException {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE);
		PrometheusTextFormatWriter.create().write(exchange.getOutputStream(), this.metrics.scrape());
	}

	private void sendFailure(HttpServerExchange exchange, RouterException failure) throws IOException {
		ErrorResponse response = ErrorTable.responseFor(failure.kind());
		OperatorResponses.ErrorBody body = new OperatorResponses.ErrorBody(failure.kind().code(),
				response.outcome().label(), failure.getMessage(), problems(failure),
				(failure instanceof OperatorRequestException requestException) ? requestException.currentRecord()
						: null);
		exchange.getResponseHeaders().put(new HttpString(HeaderNames.ERROR_KIND), failure.kind().code());
		exchange.getResponseHeaders().put(new HttpString(HeaderNames.OUTCOME), response.outcome().label());
		if (response.retryAfter() != null) {
			exchange.getResponseHeaders().put(Headers.RETRY_AFTER, response.retryAfter().toSeconds());
		}
		sendJson(exchange, response.status(), new OperatorResponses.Failure(body));
	}

	private static List<YamlProblem> problems(RouterException failure) {
		if (failure instanceof InvalidYamlException invalid) {
			return invalid.problems();
		}
		return (failure instanceof OperatorRequestException requestException) ? requestException.problems() : List.of();
	}

	private void sendJson(HttpServerExchange exchange, int status, Object value) throws IOException {
		exchange.setStatusCode(status);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getOutputStream().write(this.mapper.writeValueAsBytes(value));
	}

	private static void sendText(HttpServerExchange exchange, int status, String text) {
		exchange.setStatusCode(status);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
		exchange.getResponseSender().send(text, StandardCharsets.UTF_8);
	}

	/** Handles a request on a worker thread. */
	@FunctionalInterface
	private interface Action {

		void run(HttpServerExchange exchange) throws IOException;

	}

}
