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
import org.cyclamenstall.catalogue.KeyRequirement;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.internal.upstream.ChatUpstreamProtocol;
import org.cyclamenstall.internal.upstream.UpstreamConnections;
import org.cyclamenstall.internal.upstream.UpstreamRequest;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.lib.HeaderNames;
import org.cyclamenstall.policy.RequestFacts;
import org.cyclamenstall.settings.DaemonSettings;
import org.cyclamenstall.settings.PolicySettings;
import org.jspecify.annotations.Nullable;

/**
 * Speaks the product's own protocol: finds the client account and the catalogue entry of
 * a request and checks it against them. Thread-safe.
 */
final class CatalogueCallerProtocol implements CallerProtocol {

	static final String CHAT_COMPLETIONS_PATH = "/v1/chat/completions";

	private static final String BEARER = "Bearer ";

	private static final int MAXIMUM_KEY_LENGTH = 255;

	private static final HttpString IDEMPOTENCY_KEY = new HttpString(HeaderNames.IDEMPOTENCY_KEY);

	private static final HttpString PRIORITY = new HttpString(HeaderNames.PRIORITY);

	/** Headers that belong to one connection, or that the daemon sets itself. */
	private static final Set<HttpString> NOT_PASSED_ON = Set.of(Headers.AUTHORIZATION, Headers.HOST, Headers.CONNECTION,
			Headers.CONTENT_LENGTH, Headers.TRANSFER_ENCODING, Headers.TE, Headers.TRAILER, Headers.UPGRADE,
			Headers.EXPECT, new HttpString("Keep-Alive"), new HttpString("Proxy-Connection"), PRIORITY,
			new HttpString(HeaderNames.REQUEST_ID), new HttpString(HeaderNames.RESUME_TOKENS));

	/** The statuses by which an engine declares that it did not execute a request. */
	private static final Set<Integer> ENGINE_REFUSALS = Set.of(429, 503);

	private static final Duration MAXIMUM_MODEL_ANSWER = Duration.ofMinutes(10);

	private final CatalogueReplica catalogue;

	private final RequestIdentifiers identifiers;

	private final ChatAnswerWriter writer;

	private final int maximumBodyBytes;

	private final PolicySettings policy;

	private final MonotonicClock clock;

	CatalogueCallerProtocol(DaemonSettings settings, long incarnation, CatalogueReplica catalogue,
			MonotonicClock clock) {
		this.catalogue = catalogue;
		this.identifiers = new RequestIdentifiers(settings.host(), incarnation);
		this.writer = new ChatAnswerWriter(settings.host());
		this.maximumBodyBytes = settings.callers().maximumBodyBytes();
		this.policy = settings.policy();
		this.clock = clock;
	}

	@Override
	public String identify(HttpServerExchange exchange) {
		return this.identifiers.next();
	}

	@Override
	public ArrivedRequest arrived(HttpServerExchange exchange, String requestId) {
		CatalogueEntry account = authenticate(exchange);
		return new ArrivedRequest() {

			@Override
			public int maximumBodyBytes() {
				return CatalogueCallerProtocol.this.maximumBodyBytes;
			}

			@Override
			public CallerRequest withBody(byte[] body) {
				return resolve(exchange, account, requestId, body);
			}

		};
	}

	@Override
	public Event refused(String requestId, ErrorKind kind, String detail) {
		return new Event.RequestRefused(requestId, kind.code(), detail, this.catalogue.current().revision(), 0);
	}

	@Override
	public AnswerWriter writer() {
		return this.writer;
	}

	private CatalogueEntry authenticate(HttpServerExchange exchange) {
		if (!this.catalogue.isLoaded()) {
			throw new RouterException(ErrorKind.NOT_READY, "this daemon holds no catalogue yet");
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

	private CallerRequest resolve(HttpServerExchange exchange, CatalogueEntry account, String requestId, byte[] body) {
		if (exchange.getRequestPath().equals(CHAT_COMPLETIONS_PATH)) {
			return resolveModel(exchange, account, requestId, body);
		}
		return resolveService(exchange, account, requestId, body);
	}

	private CallerRequest resolveModel(HttpServerExchange exchange, CatalogueEntry account, String requestId,
			byte[] body) {
		if (!exchange.getRequestMethod().equals(Methods.POST)) {
			throw new RouterException(ErrorKind.METHOD_NOT_ALLOWED, "chat completions take POST only");
		}
		ModelRequestBody parsed = ModelRequestBody.parse(body);
		CatalogueEntry entry = permitted(account, catalogue().entryForModel(parsed.model()),
				"no entry serves the model " + parsed.model());
		checkBody(entry, body);
		RequestFacts facts = new RequestFacts(requestId, entry, account, tier(entry, account), this.clock.nanoTime(),
				parsed.promptTokens(), parsed.maximumTokens(), true, parsed.streamed(), parsed.prefixKey());
		return new CallerRequest(facts, upstreamRequest(exchange, facts, body), null);
	}

	private CallerRequest resolveService(HttpServerExchange exchange, CatalogueEntry account, String requestId,
			byte[] body) {
		String path = exchange.getRequestPath();
		CatalogueEntry entry = permitted(account, catalogue().entryForPath(path), "no entry serves the path " + path);
		checkBody(entry, body);
		boolean idempotent = entry.isIdempotent(exchange.getRequestMethod().toString());
		String key = idempotencyKey(exchange, entry, idempotent);
		RequestFacts facts = new RequestFacts(requestId, entry, account, tier(entry, account), this.clock.nanoTime(), 0,
				0, idempotent, false, null);
		return new CallerRequest(facts, upstreamRequest(exchange, facts, body), key);
	}

	private UpstreamRequest upstreamRequest(HttpServerExchange exchange, RequestFacts facts, byte[] body) {
		boolean model = facts.entry().kind() == EntryKind.MODEL;
		Set<Integer> declared = facts.entry().notExecutedStatuses();
		ChatUpstreamProtocol protocol = new ChatUpstreamProtocol(model,
				model ? ENGINE_REFUSALS : (declared != null) ? declared : Set.of());
		Duration reuse = facts.idempotent() ? UpstreamConnections.MAXIMUM_IDLE : Duration.ZERO;
		return new UpstreamRequest(protocol, exchange.getRequestMethod(), target(exchange), passedOn(exchange, facts),
				body, facts.streamed(), reuse, false, null, timeouts(facts, model));
	}

	private UpstreamRequest.Timeouts timeouts(RequestFacts facts, boolean model) {
		boolean waitsForWhole = model && !facts.streamed();
		Duration firstByte = waitsForWhole ? MAXIMUM_MODEL_ANSWER : Duration.ofMillis(this.policy.firstByteMillis());
		return new UpstreamRequest.Timeouts(Duration.ofMillis(this.policy.connectMillis()), firstByte,
				Duration.ofMillis(this.policy.tokenGapMillis()));
	}

	private Catalogue catalogue() {
		return this.catalogue.current();
	}

	private static CatalogueEntry permitted(CatalogueEntry account, Optional<CatalogueEntry> entry, String unknown) {
		CatalogueEntry found = entry.orElseThrow(() -> new RouterException(ErrorKind.UNKNOWN_ROUTE, unknown));
		if (account.entries() == null || !account.entries().contains(found.name())) {
			throw new RouterException(ErrorKind.ENTRY_FORBIDDEN,
					"the account " + account.name() + " may not call " + found.name());
		}
		return found;
	}

	private static void checkBody(CatalogueEntry entry, byte[] body) {
		Integer bound = entry.effectiveLimits().bodyBytes();
		if (bound != null && body.length > bound) {
			throw new RouterException(ErrorKind.BODY_TOO_LARGE, "the body exceeds " + bound + " bytes");
		}
	}

	private static Tier tier(CatalogueEntry entry, CatalogueEntry account) {
		return entry.tier().isAbove(account.tier()) ? account.tier() : entry.tier();
	}

	private static @Nullable String idempotencyKey(HttpServerExchange exchange, CatalogueEntry entry,
			boolean idempotent) {
		HeaderValues values = exchange.getRequestHeaders().get(IDEMPOTENCY_KEY);
		String key = (values != null) ? values.getFirst() : null;
		if (values != null && (values.size() > 1 || key.isBlank() || key.length() > MAXIMUM_KEY_LENGTH)) {
			throw new RouterException(ErrorKind.MALFORMED_REQUEST,
					"the idempotency key must be one text of 1 to " + MAXIMUM_KEY_LENGTH + " characters");
		}
		if (key == null && !idempotent && entry.idempotencyKey() == KeyRequirement.REQUIRED) {
			throw new RouterException(ErrorKind.IDEMPOTENCY_KEY_REQUIRED,
					"the entry " + entry.name() + " demands the header " + HeaderNames.IDEMPOTENCY_KEY);
		}
		return key;
	}

	private static String target(HttpServerExchange exchange) {
		String query = exchange.getQueryString();
		String path = exchange.getRequestURI();
		return query.isEmpty() ? path : path + "?" + query;
	}

	private static HeaderMap passedOn(HttpServerExchange exchange, RequestFacts facts) {
		HeaderMap headers = new HeaderMap();
		for (HeaderValues values : exchange.getRequestHeaders()) {
			if (!NOT_PASSED_ON.contains(values.getHeaderName())) {
				headers.addAll(values.getHeaderName(), values);
			}
		}
		headers.put(PRIORITY, facts.tier().ordinal());
		return headers;
	}

}
