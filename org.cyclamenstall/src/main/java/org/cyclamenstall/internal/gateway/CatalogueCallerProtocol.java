package org.cyclamenstall.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import org.apache.commons.codec.digest.DigestUtils;
import org.cyclamenstall.catalogue.Catalogue;
import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.CatalogueReplica;
import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.catalogue.IdempotencyKeyRequirement;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.internal.upstream.ChatUpstreamProtocol;
import org.cyclamenstall.internal.upstream.UpstreamConnectionPool;
import org.cyclamenstall.internal.upstream.UpstreamRequest;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.lib.HeaderNames;
import org.cyclamenstall.policy.RequestAttributes;
import org.cyclamenstall.settings.DaemonSettings;
import org.cyclamenstall.settings.PolicySettings;
import org.jspecify.annotations.Nullable;

/**
 * Native caller protocol: authenticates the client account of a request, looks up its
 * catalogue entry, and validates the request against both. Thread-safe.
 */
final class CatalogueCallerProtocol implements CallerProtocol {

	static final String CHAT_COMPLETIONS_PATH = "/v1/chat/completions";

	private static final String BEARER = "Bearer ";

	private static final int MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS = 255;

	private static final HttpString IDEMPOTENCY_KEY = new HttpString(HeaderNames.IDEMPOTENCY_KEY);

	private static final HttpString PRIORITY = new HttpString(HeaderNames.PRIORITY);

	/**
	 * Caller headers that are not forwarded: hop-by-hop headers, the API key, and headers
	 * that the daemon sets.
	 */
	private static final Set<HttpString> EXCLUDED_HEADERS = Set.of(Headers.AUTHORIZATION, Headers.HOST,
			Headers.CONNECTION, Headers.CONTENT_LENGTH, Headers.TRANSFER_ENCODING, Headers.TE, Headers.TRAILER,
			Headers.UPGRADE, Headers.EXPECT, new HttpString("Keep-Alive"), new HttpString("Proxy-Connection"), PRIORITY,
			new HttpString(HeaderNames.REQUEST_ID), new HttpString(HeaderNames.RESUME_TOKENS));

	/** Statuses by which a model engine declares that it did not execute a request. */
	private static final Set<Integer> ENGINE_NOT_EXECUTED_STATUSES = Set.of(429, 503);

	private static final Duration MAXIMUM_MODEL_RESPONSE_TIME = Duration.ofMinutes(10);

	private final CatalogueReplica catalogue;

	private final RequestIdentifiers identifiers;

	private final ChatResponseWriter writer;

	private final int maximumBodyBytes;

	private final PolicySettings policy;

	private final MonotonicClock clock;

	CatalogueCallerProtocol(DaemonSettings settings, long incarnation, CatalogueReplica catalogue,
			MonotonicClock clock) {
		this.catalogue = catalogue;
		this.identifiers = new RequestIdentifiers(settings.host(), incarnation);
		this.writer = new ChatResponseWriter(settings.host());
		this.maximumBodyBytes = settings.callers().maximumBodyBytes();
		this.policy = settings.policy();
		this.clock = clock;
	}

	@Override
	public String requestIdentifier(HttpServerExchange exchange) {
		return this.identifiers.next();
	}

	@Override
	public AcceptedRequest acceptHeaders(HttpServerExchange exchange, String requestId) {
		CatalogueEntry account = authenticate(exchange);
		return new AcceptedRequest() {

			@Override
			public int maximumBodyBytes() {
				return CatalogueCallerProtocol.this.maximumBodyBytes;
			}

			@Override
			public CallerRequest withBody(byte[] body) {
				return validate(exchange, account, requestId, body);
			}

		};
	}

	@Override
	public Event refusalEvent(String requestId, ErrorKind kind, String detail) {
		return new Event.RequestRefused(requestId, kind.code(), detail, this.catalogue.current().revision(), 0);
	}

	@Override
	public ResponseWriter writer() {
		return this.writer;
	}

	private CatalogueEntry authenticate(HttpServerExchange exchange) {
		if (!this.catalogue.isLoaded()) {
			throw new RouterException(ErrorKind.NOT_READY, "no catalogue has been loaded yet");
		}
		String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
		if (header == null || !header.startsWith(BEARER)) {
			throw new RouterException(ErrorKind.UNKNOWN_API_KEY, "no API key was presented");
		}
		String hash = DigestUtils.sha256Hex(header.substring(BEARER.length()).trim());
		return this.catalogue.current()
			.accountForKeyHash(hash)
			.orElseThrow(() -> new RouterException(ErrorKind.UNKNOWN_API_KEY, "the API key is unknown"));
	}

	private CallerRequest validate(HttpServerExchange exchange, CatalogueEntry account, String requestId, byte[] body) {
		if (exchange.getRequestPath().equals(CHAT_COMPLETIONS_PATH)) {
			return validateModelRequest(exchange, account, requestId, body);
		}
		return validateServiceRequest(exchange, account, requestId, body);
	}

	private CallerRequest validateModelRequest(HttpServerExchange exchange, CatalogueEntry account, String requestId,
			byte[] body) {
		if (!exchange.getRequestMethod().equals(Methods.POST)) {
			throw new RouterException(ErrorKind.METHOD_NOT_ALLOWED, "chat completions accept only POST");
		}
		ModelRequestBody parsed = ModelRequestBody.parse(body);
		CatalogueEntry entry = permittedEntry(account, catalogue().entryForModel(parsed.model()),
				"no catalogue entry for the model " + parsed.model());
		checkBodySize(entry, body);
		RequestAttributes attributes = new RequestAttributes(requestId, entry, account, effectiveTier(entry, account),
				this.clock.nanoTime(), parsed.promptTokens(), parsed.maximumTokens(), true, parsed.streamed(),
				parsed.prefixKey());
		return new CallerRequest(attributes, upstreamRequest(exchange, attributes, body), null);
	}

	private CallerRequest validateServiceRequest(HttpServerExchange exchange, CatalogueEntry account, String requestId,
			byte[] body) {
		String path = exchange.getRequestPath();
		CatalogueEntry entry = permittedEntry(account, catalogue().entryForPath(path),
				"no catalogue entry for the path " + path);
		checkBodySize(entry, body);
		boolean idempotent = entry.isIdempotent(exchange.getRequestMethod().toString());
		String key = idempotencyKey(exchange, entry, idempotent);
		RequestAttributes attributes = new RequestAttributes(requestId, entry, account, effectiveTier(entry, account),
				this.clock.nanoTime(), 0, 0, idempotent, false, null);
		return new CallerRequest(attributes, upstreamRequest(exchange, attributes, body), key);
	}

	private UpstreamRequest upstreamRequest(HttpServerExchange exchange, RequestAttributes attributes, byte[] body) {
		boolean forModelEngine = attributes.entry().kind() == EntryKind.MODEL;
		Set<Integer> declaredStatuses = attributes.entry().notExecutedStatuses();
		ChatUpstreamProtocol protocol = new ChatUpstreamProtocol(forModelEngine, forModelEngine
				? ENGINE_NOT_EXECUTED_STATUSES : (declaredStatuses != null) ? declaredStatuses : Set.of());
		Duration maximumIdle = attributes.idempotent() ? UpstreamConnectionPool.MAXIMUM_IDLE_TIME : Duration.ZERO;
		return new UpstreamRequest(protocol, exchange.getRequestMethod(), requestTarget(exchange),
				forwardedHeaders(exchange, attributes), body, attributes.streamed(), maximumIdle, false, null,
				timeouts(attributes, forModelEngine), true);
	}

	private UpstreamRequest.Timeouts timeouts(RequestAttributes attributes, boolean forModelEngine) {
		boolean buffered = forModelEngine && !attributes.streamed();
		Duration firstByte = buffered ? MAXIMUM_MODEL_RESPONSE_TIME : Duration.ofMillis(this.policy.firstByteMillis());
		return new UpstreamRequest.Timeouts(Duration.ofMillis(this.policy.connectMillis()), firstByte,
				Duration.ofMillis(this.policy.tokenGapMillis()));
	}

	private Catalogue catalogue() {
		return this.catalogue.current();
	}

	private static CatalogueEntry permittedEntry(CatalogueEntry account, Optional<CatalogueEntry> entry,
			String unknownMessage) {
		CatalogueEntry found = entry.orElseThrow(() -> new RouterException(ErrorKind.UNKNOWN_ROUTE, unknownMessage));
		if (account.entries() == null || !account.entries().contains(found.name())) {
			throw new RouterException(ErrorKind.ENTRY_FORBIDDEN,
					"the account " + account.name() + " may not call " + found.name());
		}
		return found;
	}

	private static void checkBodySize(CatalogueEntry entry, byte[] body) {
		Integer limit = entry.effectiveLimits().bodyBytes();
		if (limit != null && body.length > limit) {
			throw new RouterException(ErrorKind.BODY_TOO_LARGE, "the body exceeds " + limit + " bytes");
		}
	}

	private static Tier effectiveTier(CatalogueEntry entry, CatalogueEntry account) {
		return entry.tier().isAbove(account.tier()) ? account.tier() : entry.tier();
	}

	private static @Nullable String idempotencyKey(HttpServerExchange exchange, CatalogueEntry entry,
			boolean idempotent) {
		HeaderValues values = exchange.getRequestHeaders().get(IDEMPOTENCY_KEY);
		String key = (values != null) ? values.getFirst() : null;
		if (values != null
				&& (values.size() > 1 || key.isBlank() || key.length() > MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS)) {
			throw new RouterException(ErrorKind.MALFORMED_REQUEST, "the idempotency key must be a single value of 1 to "
					+ MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS + " characters");
		}
		if (key == null && !idempotent && entry.idempotencyKey() == IdempotencyKeyRequirement.REQUIRED) {
			throw new RouterException(ErrorKind.IDEMPOTENCY_KEY_REQUIRED,
					"the entry " + entry.name() + " requires the header " + HeaderNames.IDEMPOTENCY_KEY);
		}
		return key;
	}

	private static String requestTarget(HttpServerExchange exchange) {
		String query = exchange.getQueryString();
		String path = exchange.getRequestURI();
		return query.isEmpty() ? path : path + "?" + query;
	}

	private static HeaderMap forwardedHeaders(HttpServerExchange exchange, RequestAttributes attributes) {
		HeaderMap headers = new HeaderMap();
		for (HeaderValues values : exchange.getRequestHeaders()) {
			if (!EXCLUDED_HEADERS.contains(values.getHeaderName())) {
				headers.addAll(values.getHeaderName(), values);
			}
		}
		headers.put(PRIORITY, attributes.tier().ordinal());
		return headers;
	}

}
