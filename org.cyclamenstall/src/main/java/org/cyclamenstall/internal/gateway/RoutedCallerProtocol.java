package org.cyclamenstall.internal.gateway;

import java.time.Duration;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.internal.upstream.UpstreamConnections;
import org.cyclamenstall.internal.upstream.UpstreamProtocol;
import org.cyclamenstall.internal.upstream.UpstreamRequest;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.policy.RequestFacts;
import org.cyclamenstall.policy.RequestTerms;
import org.cyclamenstall.routes.EngineShape;
import org.cyclamenstall.routes.RequestRank;
import org.cyclamenstall.routes.Route;
import org.cyclamenstall.routes.RouteAccount;
import org.cyclamenstall.routes.RouteTable;
import org.cyclamenstall.routes.RouteTableView;
import org.cyclamenstall.routes.RouteTerms;
import org.cyclamenstall.routes.UpstreamService;
import org.jspecify.annotations.Nullable;

/**
 * Accepts requests by the routes in force: finds the route and the client account, and
 * derives the terms. Refuses what the routes do not allow only while they are confirmed;
 * otherwise the caller is asked to come back. Thread-safe.
 */
public final class RoutedCallerProtocol implements CallerProtocol {

	private static final CatalogueEntry NO_ACCOUNT = new CatalogueEntry("anonymous", EntryKind.ACCOUNT, "anonymous",
			Tier.INTERACTIVE, null, null, null, null, null, null, null, null, null, null, null, null);

	/** How long a kept connection may be idle to carry what must not run twice. */
	private static final Duration SAFE_IDLE = Duration.ofSeconds(1);

	private final RouteTableView routes;

	private final KeyRights keys;

	private final RequestHeadCodec codec;

	private final UpstreamProtocol upstreams;

	private final AnswerWriter writer;

	private final AttemptTimes times;

	private final RequestIdentifiers identifiers;

	private final MonotonicClock clock;

	private final UniformRandomProvider random;

	/**
	 * Creates a protocol.
	 * @param routes the routes in force
	 * @param keys decides whether API keys are believed
	 * @param codec reads the heads of requests
	 * @param upstreams the protocol of the upstreams
	 * @param writer writes the answers
	 * @param host the name of this host
	 * @param incarnation the start of the daemon, in milliseconds since the epoch
	 * @param clock the monotonic clock
	 * @param random the source of randomness
	 */
	public RoutedCallerProtocol(RouteTableView routes, KeyRights keys, RequestHeadCodec codec,
			UpstreamProtocol upstreams, AnswerWriter writer, String host, long incarnation, MonotonicClock clock,
			UniformRandomProvider random) {
		this.routes = routes;
		this.keys = keys;
		this.codec = codec;
		this.upstreams = upstreams;
		this.writer = writer;
		this.times = new AttemptTimes();
		this.identifiers = new RequestIdentifiers(host, incarnation);
		this.clock = clock;
		this.random = random;
	}

	@Override
	public String identify(HttpServerExchange exchange) {
		String given = this.codec.identifier(exchange);
		return (given != null) ? given : this.identifiers.next();
	}

	@Override
	public Event refused(String requestId, ErrorKind kind, String detail) {
		return new Event.RequestRefused(requestId, kind.code(), detail,
				this.routes.current().map(RouteTable::version).orElse(0L), this.keys.confirmedMillisAgo());
	}

	@Override
	public AnswerWriter writer() {
		return this.writer;
	}

	@Override
	public ArrivedRequest arrived(HttpServerExchange exchange, String requestId) {
		long arrivalNanos = this.clock.nanoTime();
		RouteTable table = this.routes.current()
			.orElseThrow(() -> new RouterException(ErrorKind.NOT_READY, "this daemon knows no routes yet"));
		RequestHead head = this.codec.decode(exchange);
		Route route = table.route(head.virtualHost(), head.path())
			.orElseThrow(() -> unconfirmedOr(ErrorKind.UNKNOWN_ROUTE, "no route serves this host and path"));
		RouteAccount account = account(table, route, head);
		return new Arrived(exchange, requestId, arrivalNanos, table, head, route, account);
	}

	private @Nullable RouteAccount account(RouteTable table, Route route, RequestHead head) {
		if (!table.needsKeys() || route.terms().open()) {
			return null;
		}
		if (!this.keys.areConfirmed()) {
			throw unconfirmed();
		}
		if (head.apiKey() == null) {
			throw new RouterException(ErrorKind.UNKNOWN_API_KEY, "no API key was presented");
		}
		return table.account(head.apiKey())
			.orElseThrow(() -> new RouterException(ErrorKind.UNKNOWN_API_KEY, "the API key is unknown"));
	}

	private RouterException unconfirmedOr(ErrorKind kind, String message) {
		return this.keys.areConfirmed() ? new RouterException(kind, message) : unconfirmed();
	}

	private static RouterException unconfirmed() {
		return new RouterException(ErrorKind.KEYS_UNCONFIRMED, "the configuration could not be confirmed lately");
	}

	/**
	 * Holds an accepted head until the body is read.
	 */
	private final class Arrived implements ArrivedRequest {

		private final HttpServerExchange exchange;

		private final String requestId;

		private final long arrivalNanos;

		private final RouteTable table;

		private final RequestHead head;

		private final Route route;

		private final @Nullable RouteAccount account;

		Arrived(HttpServerExchange exchange, String requestId, long arrivalNanos, RouteTable table, RequestHead head,
				Route route, @Nullable RouteAccount account) {
			this.exchange = exchange;
			this.requestId = requestId;
			this.arrivalNanos = arrivalNanos;
			this.table = table;
			this.head = head;
			this.route = route;
			this.account = account;
		}

		@Override
		public int maximumBodyBytes() {
			return this.table.callerBounds().bodyBytes();
		}

		@Override
		public CallerRequest withBody(byte[] body) {
			RouteTerms terms = this.route.terms();
			int rank = RequestRank.of((this.account != null) ? this.account.priority() : null, terms.priority());
			Duration answerWithin = answerWithin(terms);
			String service = terms.serviceFor(RoutedCallerProtocol.this.random.nextDouble());
			RequestTerms requestTerms = new RequestTerms(service, rank, terms.attempts(), terms.objective(),
					terms.pauseObjective(), answerWithin, terms.resumable(), tokensPerEvent(service),
					this.head.prompt());
			CatalogueEntry accountEntry = (this.account != null) ? this.account.entry() : NO_ACCOUNT;
			RequestFacts facts = new RequestFacts(this.requestId, this.route.entry(), accountEntry,
					this.route.entry().tier(), this.arrivalNanos, terms.idempotent(), terms.streamed(), null,
					requestTerms);
			return new CallerRequest(facts, upstreamRequest(terms, rank, answerWithin, body), null);
		}

		private UpstreamRequest upstreamRequest(RouteTerms terms, int rank, Duration answerWithin, byte[] body) {
			HttpString method = this.exchange.getRequestMethod();
			String query = this.exchange.getQueryString();
			String target = query.isEmpty() ? this.head.path() : this.head.path() + "?" + query;
			String accountName = (this.account != null) ? this.account.entry().name() : null;
			return new UpstreamRequest(RoutedCallerProtocol.this.upstreams, method, target,
					RoutedCallerProtocol.this.codec.upstreamHeaders(this.exchange, accountName, rank), body,
					terms.streamed(), terms.idempotent() ? UpstreamConnections.MAXIMUM_IDLE : SAFE_IDLE, true,
					this.arrivalNanos + answerWithin.toNanos(),
					RoutedCallerProtocol.this.times.of(terms, answerWithin));
		}

		private int tokensPerEvent(String service) {
			UpstreamService described = this.table.services().get(service);
			EngineShape engine = (described != null) ? described.engine() : null;
			return (engine != null) ? engine.tokensPerEvent() : 1;
		}

		private Duration answerWithin(RouteTerms terms) {
			Duration left = this.head.timeLeft();
			return (left != null && left.compareTo(terms.timeout()) < 0) ? left : terms.timeout();
		}

	}

}
