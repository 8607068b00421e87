package org.cyclamenstall.internal.gateway;

import java.time.Duration;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.internal.upstream.UpstreamConnectionPool;
import org.cyclamenstall.internal.upstream.UpstreamProtocol;
import org.cyclamenstall.internal.upstream.UpstreamRequest;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.policy.RequestAttributes;
import org.cyclamenstall.policy.RequestOptions;
import org.cyclamenstall.routes.EngineProperties;
import org.cyclamenstall.routes.RequestPriority;
import org.cyclamenstall.routes.Route;
import org.cyclamenstall.routes.RouteAccount;
import org.cyclamenstall.routes.RouteOptions;
import org.cyclamenstall.routes.RouteTable;
import org.cyclamenstall.routes.RouteTableView;
import org.cyclamenstall.routes.UpstreamService;
import org.jspecify.annotations.Nullable;

/**
 * Accepts requests according to the route table: selects the route, authenticates the
 * client account, and derives the request options from both. A request that the table
 * does not allow is refused permanently only while the configuration is confirmed;
 * otherwise the caller is asked to retry. Thread-safe.
 */
public final class RoutedCallerProtocol implements CallerProtocol {

	/**
	 * Maximum idle time of a connection that is reused for a non-idempotent request. The
	 * longer a connection was idle, the likelier the upstream has closed it, and a
	 * request that fails on it cannot be retried.
	 */
	private static final Duration MAXIMUM_IDLE_TIME_NON_IDEMPOTENT = Duration.ofSeconds(1);

	private final RouteTableView routes;

	private final ApiKeyAuthorization keyAuthorization;

	private final RequestHeaderCodec codec;

	private final UpstreamProtocol upstreamProtocol;

	private final ResponseWriter writer;

	private final AttemptTimeoutPolicy timeoutPolicy;

	private final RequestIdentifiers identifiers;

	private final MonotonicClock clock;

	private final UniformRandomProvider random;

	/**
	 * Creates a protocol.
	 * @param routes the active route table
	 * @param keyAuthorization decides whether API keys may be accepted
	 * @param codec reads the headers of requests
	 * @param upstreamProtocol the protocol of the upstreams
	 * @param writer writes the responses
	 * @param host the name of this host
	 * @param incarnation the start time of the daemon, in milliseconds since the epoch
	 * @param clock the monotonic clock
	 * @param random selects among the services of a route
	 */
	public RoutedCallerProtocol(RouteTableView routes, ApiKeyAuthorization keyAuthorization, RequestHeaderCodec codec,
			UpstreamProtocol upstreamProtocol, ResponseWriter writer, String host, long incarnation,
			MonotonicClock clock, UniformRandomProvider random) {
		this.routes = routes;
		this.keyAuthorization = keyAuthorization;
		this.codec = codec;
		this.upstreamProtocol = upstreamProtocol;
		this.writer = writer;
		this.timeoutPolicy = new AttemptTimeoutPolicy();
		this.identifiers = new RequestIdentifiers(host, incarnation);
		this.clock = clock;
		this.random = random;
	}

	@Override
	public String requestIdentifier(HttpServerExchange exchange) {
		String callerIdentifier = this.codec.requestIdentifier(exchange);
		return (callerIdentifier != null) ? callerIdentifier : this.identifiers.next();
	}

	@Override
	public Event refusalEvent(String requestId, ErrorKind kind, String detail) {
		return new Event.RequestRefused(requestId, kind.code(), detail,
				this.routes.current().map(RouteTable::version).orElse(0L),
				this.keyAuthorization.millisSinceConfirmation());
	}

	@Override
	public ResponseWriter writer() {
		return this.writer;
	}

	@Override
	public AcceptedRequest acceptHeaders(HttpServerExchange exchange, String requestId) {
		long arrivalNanos = this.clock.nanoTime();
		RouteTable table = this.routes.current()
			.orElseThrow(() -> new RouterException(ErrorKind.NOT_READY, "no route table has been loaded yet"));
		RequestHeaders headers = this.codec.decode(exchange);
		Route route = table.route(headers.virtualHost(), headers.path())
			.orElseThrow(() -> refusalIfConfirmed(ErrorKind.UNKNOWN_ROUTE, "no route matches this host and path"));
		RouteAccount account = account(table, route, headers);
		return new AcceptedRoutedRequest(exchange, requestId, arrivalNanos, table, headers, route, account);
	}

	private @Nullable RouteAccount account(RouteTable table, Route route, RequestHeaders headers) {
		if (!table.requiresApiKeys() || route.options().publicAccess()) {
			return null;
		}
		if (!this.keyAuthorization.mayAcceptKeys()) {
			throw unconfirmedConfiguration();
		}
		if (headers.apiKey() == null) {
			throw new RouterException(ErrorKind.UNKNOWN_API_KEY, "no API key was presented");
		}
		return table.account(headers.apiKey())
			.orElseThrow(() -> new RouterException(ErrorKind.UNKNOWN_API_KEY, "the API key is unknown"));
	}

	private RouterException refusalIfConfirmed(ErrorKind kind, String message) {
		return this.keyAuthorization.mayAcceptKeys() ? new RouterException(kind, message) : unconfirmedConfiguration();
	}

	private static RouterException unconfirmedConfiguration() {
		return new RouterException(ErrorKind.KEYS_UNCONFIRMED, "the configuration could not be confirmed lately");
	}

	/**
	 * Request whose headers were accepted and whose body is still to be read.
	 */
	private final class AcceptedRoutedRequest implements AcceptedRequest {

		private final HttpServerExchange exchange;

		private final String requestId;

		private final long arrivalNanos;

		private final RouteTable table;

		private final RequestHeaders headers;

		private final Route route;

		private final @Nullable RouteAccount account;

		AcceptedRoutedRequest(HttpServerExchange exchange, String requestId, long arrivalNanos, RouteTable table,
				RequestHeaders headers, Route route, @Nullable RouteAccount account) {
			this.exchange = exchange;
			this.requestId = requestId;
			this.arrivalNanos = arrivalNanos;
			this.table = table;
			this.headers = headers;
			this.route = route;
			this.account = account;
		}

		@Override
		public int maximumBodyBytes() {
			return this.table.connectionLimits().maximumBodyBytes();
		}

		@Override
		public CallerRequest withBody(byte[] body) {
			RouteOptions options = this.route.options();
			int priority = RequestPriority.of((this.account != null) ? this.account.priority() : null,
					options.priority());
			Duration responseTimeout = responseTimeout(options);
			String service = options.selectService(RoutedCallerProtocol.this.random.nextDouble());
			RequestOptions requestOptions = new RequestOptions(service, priority, options.maximumAttempts(),
					options.latencyObjective(), options.eventGapObjective(), options.firstEventTimeout(),
					responseTimeout, options.resumable(), tokensPerEvent(service), this.headers.prompt());
			CatalogueEntry accountEntry = (this.account != null) ? this.account.entry()
					: RequestAttributes.ANONYMOUS_ACCOUNT;
			RequestAttributes attributes = new RequestAttributes(this.requestId, this.route.entry(), accountEntry,
					this.route.entry().tier(), this.arrivalNanos, options.idempotent(), options.streamed(), null,
					requestOptions);
			return new CallerRequest(attributes, upstreamRequest(options, priority, responseTimeout, body), null);
		}

		private UpstreamRequest upstreamRequest(RouteOptions options, int priority, Duration responseTimeout,
				byte[] body) {
			HttpString method = this.exchange.getRequestMethod();
			String query = this.exchange.getQueryString();
			String target = query.isEmpty() ? this.headers.path() : this.headers.path() + "?" + query;
			String accountName = (this.account != null) ? this.account.entry().name() : null;
			return new UpstreamRequest(RoutedCallerProtocol.this.upstreamProtocol, method, target,
					RoutedCallerProtocol.this.codec.upstreamHeaders(this.exchange, accountName, priority), body,
					options.streamed(),
					options.idempotent() ? UpstreamConnectionPool.MAXIMUM_IDLE_TIME : MAXIMUM_IDLE_TIME_NON_IDEMPOTENT,
					true, this.arrivalNanos + responseTimeout.toNanos(),
					RoutedCallerProtocol.this.timeoutPolicy.timeoutsFor(options, responseTimeout), false);
		}

		private int tokensPerEvent(String service) {
			UpstreamService serviceDefinition = this.table.services().get(service);
			EngineProperties engine = (serviceDefinition != null) ? serviceDefinition.engine() : null;
			return (engine != null) ? engine.tokensPerEvent() : 1;
		}

		private Duration responseTimeout(RouteOptions options) {
			Duration remaining = this.headers.remainingTime();
			return (remaining != null && remaining.compareTo(options.responseTimeout()) < 0) ? remaining
					: options.responseTimeout();
		}

	}

}
