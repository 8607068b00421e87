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
import org.cyclamenstall.errors.ErrorAnswer;
import org.cyclamenstall.errors.ErrorKind;
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
 * Serves the operators' port: health, readiness, metrics, the catalogue and the state of
 * the daemon. Everything but health and readiness needs the operators' token if the
 * settings name one. Thread-safe.
 */
public final class OperatorServer implements Service {

	private static final Logger logger = LogManager.getLogger(OperatorServer.class);

	private static final int IO_THREADS = 1;

	private static final int WORKER_THREADS = 16;

	private static final long MAXIMUM_BODY_BYTES = 1_048_576;

	private static final int REQUEST_TIMEOUT_MILLIS = 10_000;

	private static final int IDLE_TIMEOUT_MILLIS = 60_000;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final long MAXIMUM_WAIT_MILLIS = 30_000;

	private static final long DEFAULT_WAIT_MILLIS = 5_000;

	private static final int MAXIMUM_NAME_LENGTH = 128;

	private static final HttpString EDIT_ID = new HttpString("X-Edit-Id");

	private static final HttpString OPERATOR = new HttpString("X-Operator");

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
	 * @param settings the settings of the operators' port
	 * @param storePrefix the prefix of all keys of the deployment in the store
	 * @param store the store
	 * @param replica the catalogue in force on this daemon
	 * @param membership the daemons
	 * @param readiness tells whether the daemon takes requests
	 * @param upstreams gives the upstreams
	 * @param metrics the metrics to show, where the own counters are registered too
	 * @param clock the clock
	 * @param random the source of jitter
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
			.help("Requests at the operators' port by result")
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
			.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_TIMEOUT_MILLIS)
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
	 * Returns the address that the server listens on, once it is started.
	 * @return the address
	 */
	public InetSocketAddress address() {
		Undertow started = Objects.requireNonNull(this.server);
		return (InetSocketAddress) started.getListenerInfo().get(0).getAddress();
	}

	private RoutingHandler routes() {
		return new RoutingHandler().get("/health", open((exchange) -> sendText(exchange, 200, "ok\n")))
			.get("/ready", open(this::sendReadiness))
			.get("/metrics", guarded(this::sendMetrics))
			.get("/v1/status", guarded((exchange) -> sendJson(exchange, 200, status())))
			.get("/v1/hosts", guarded((exchange) -> sendJson(exchange, 200, hosts())))
			.get("/v1/upstreams", guarded((exchange) -> sendJson(exchange, 200, upstreams())))
			.get("/v1/catalogue", guarded((exchange) -> sendJson(exchange, 200, this.catalogue.list())))
			.get("/v1/in-force/{revision}", guarded((exchange) -> sendJson(exchange, 200, inForce(exchange))))
			.get("/v1/catalogue/{name}",
					guarded((exchange) -> sendJson(exchange, 200, this.catalogue.show(parameter(exchange, "name")))))
			.get("/v1/catalogue/{name}/history",
					guarded((exchange) -> sendJson(exchange, 200, this.catalogue.history(parameter(exchange, "name")))))
			.put("/v1/catalogue/{name}", guarded((exchange) -> sendJson(exchange, 200, put(exchange))))
			.delete("/v1/catalogue/{name}", guarded((exchange) -> sendJson(exchange, 200, delete(exchange))))
			.setFallbackHandler(open(
					(exchange) -> sendFailure(exchange, new OperatorFailure(ErrorKind.UNKNOWN_ROUTE, "no such path"))))
			.setInvalidMethodHandler(open((exchange) -> sendFailure(exchange,
					new OperatorFailure(ErrorKind.METHOD_NOT_ALLOWED, "the path does not have this method"))));
	}

	private BlockingHandler open(Action action) {
		return new BlockingHandler((exchange) -> run(action, exchange));
	}

	private BlockingHandler guarded(Action action) {
		return open((exchange) -> {
			String presented = exchange.getRequestHeaders().getFirst(HeaderNames.AUTHORIZATION);
			if (!Objects.requireNonNull(this.token).allows(presented)) {
				throw new OperatorFailure(ErrorKind.OPERATOR_UNAUTHORIZED, "the operators' token is missing or wrong");
			}
			action.run(exchange);
		});
	}

	private void run(Action action, HttpServerExchange exchange) throws IOException {
		try {
			action.run(exchange);
			this.requests.labelValues("answered").inc();
		}
		catch (RouterException ex) {
			this.requests.labelValues(ex.kind().code()).inc();
			sendFailure(exchange, ex);
		}
		catch (IOException | RuntimeException ex) {
			logger.error("A request at the operators' port failed", ex);
			this.requests.labelValues(ErrorKind.INTERNAL.code()).inc();
			sendFailure(exchange, new OperatorFailure(ErrorKind.INTERNAL, "the daemon failed; see its log"));
		}
	}

	private OperatorAnswers.Accepted put(HttpServerExchange exchange) throws IOException {
		byte[] body = exchange.getInputStream().readAllBytes();
		return this.catalogue.put(parameter(exchange, "name"), body, editParameters(exchange));
	}

	private OperatorAnswers.Accepted delete(HttpServerExchange exchange) {
		return this.catalogue.delete(parameter(exchange, "name"), editParameters(exchange));
	}

	private OperatorAnswers.InForce inForce(HttpServerExchange exchange) {
		long revision = number("revision", parameter(exchange, "revision"));
		return this.catalogue.inForce(revision, waitOf(exchange));
	}

	private OperatorAnswers.Status status() {
		Member self = this.membership.self();
		Readiness now = this.readiness.readiness();
		CatalogueSummary summary = this.replica.summary();
		long live = this.membership.members().stream().filter((member) -> member.state() == MemberState.ALIVE).count();
		return new OperatorAnswers.Status(self.host(), self.failureDomain(), self.incarnation(), now.ready(),
				now.reason(), summary.revision(), Long.toHexString(summary.digest()), live);
	}

	private OperatorAnswers.Hosts hosts() {
		return new OperatorAnswers.Hosts(this.membership.members());
	}

	private OperatorAnswers.Upstreams upstreams() {
		return new OperatorAnswers.Upstreams(this.upstreams.rows());
	}

	private EditParameters editParameters(HttpServerExchange exchange) {
		String operator = shortHeader(exchange, OPERATOR);
		String expected = query(exchange, "expected-revision");
		return new EditParameters(shortHeader(exchange, EDIT_ID), (operator != null) ? operator : "unknown",
				(expected != null) ? Long.valueOf(number("expected-revision", expected)) : null, waitOf(exchange));
	}

	private static @Nullable String shortHeader(HttpServerExchange exchange, HttpString name) {
		String value = exchange.getRequestHeaders().getFirst(name);
		if (value != null && (value.isBlank() || value.length() > MAXIMUM_NAME_LENGTH)) {
			throw new OperatorFailure(ErrorKind.MALFORMED_REQUEST,
					name + " must have 1 to " + MAXIMUM_NAME_LENGTH + " characters");
		}
		return value;
	}

	private static Duration waitOf(HttpServerExchange exchange) {
		String wait = query(exchange, "wait-millis");
		long millis = (wait != null) ? number("wait-millis", wait) : DEFAULT_WAIT_MILLIS;
		return Duration.ofMillis(Math.min(MAXIMUM_WAIT_MILLIS, millis));
	}

	private static long number(String name, String text) {
		try {
			long value = Long.parseLong(text);
			if (value >= 0) {
				return value;
			}
		}
		catch (NumberFormatException ex) {
			logger.debug("Not a number: {}", name);
		}
		throw new OperatorFailure(ErrorKind.MALFORMED_REQUEST, name + " must be a number from 0");
	}

	private static String parameter(HttpServerExchange exchange, String name) {
		return exchange.getAttachment(PathTemplateMatch.ATTACHMENT_KEY).getParameters().get(name);
	}

	private static @Nullable String query(HttpServerExchange exchange, String name) {
		return (exchange.getQueryParameters().get(name) != null) ? exchange.getQueryParameters().get(name).peekFirst()
				: null;
	}

	private void sendReadiness(HttpServerExchange exchange) {
		Readiness now = this.readiness.readiness();
		sendText(exchange, now.ready() ? 200 : SERVICE_UNAVAILABLE, now.ready() ? "ready\n" : now.reason() + "\n");
	}

	private void sendMetrics(HttpServerExchange exchange) throws IOException {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE);
		PrometheusTextFormatWriter.create().write(exchange.getOutputStream(), this.metrics.scrape());
	}

	private void sendFailure(HttpServerExchange exchange, RouterException failure) throws IOException {
		ErrorAnswer answer = ErrorTable.answerFor(failure.kind());
		OperatorAnswers.ErrorBody body = new OperatorAnswers.ErrorBody(failure.kind().code(), answer.outcome().label(),
				failure.getMessage(), problems(failure),
				(failure instanceof OperatorFailure refused) ? refused.winner() : null);
		exchange.getResponseHeaders().put(new HttpString(HeaderNames.ERROR_KIND), failure.kind().code());
		exchange.getResponseHeaders().put(new HttpString(HeaderNames.OUTCOME), answer.outcome().label());
		if (answer.retryAfter() != null) {
			exchange.getResponseHeaders().put(Headers.RETRY_AFTER, answer.retryAfter().toSeconds());
		}
		sendJson(exchange, answer.status(), new OperatorAnswers.Failure(body));
	}

	private static List<YamlProblem> problems(RouterException failure) {
		if (failure instanceof InvalidYamlException invalid) {
			return invalid.problems();
		}
		return (failure instanceof OperatorFailure refused) ? refused.problems() : List.of();
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

	/** Answers one request on a worker thread. */
	@FunctionalInterface
	private interface Action {

		void run(HttpServerExchange exchange) throws IOException;

	}

}
