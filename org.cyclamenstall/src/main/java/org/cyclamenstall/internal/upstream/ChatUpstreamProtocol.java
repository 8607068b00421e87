package org.cyclamenstall.internal.upstream;

import java.nio.charset.StandardCharsets;
import java.util.Set;

import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.lib.HeaderNames;
import org.jspecify.annotations.Nullable;

/**
 * Native upstream protocol: chat completions for model engines, and arbitrary responses
 * for other services. Immutable and thread-safe.
 */
public final class ChatUpstreamProtocol implements UpstreamProtocol {

	private static final HttpString REQUEST_ID = new HttpString(HeaderNames.REQUEST_ID);

	private static final HttpString RESUME_TOKENS = new HttpString(HeaderNames.RESUME_TOKENS);

	private static final int STATUS_OK = 200;

	private static final int FIRST_SERVER_ERROR_STATUS = 500;

	private final boolean forModelEngine;

	private final Set<Integer> notExecutedStatuses;

	/**
	 * Creates the protocol of one request.
	 * @param forModelEngine whether the upstream is a model engine, which must echo the
	 * attempt identifier
	 * @param notExecutedStatuses the statuses by which the upstream declares that it did
	 * not execute the request
	 */
	public ChatUpstreamProtocol(boolean forModelEngine, Set<Integer> notExecutedStatuses) {
		this.forModelEngine = forModelEngine;
		this.notExecutedStatuses = notExecutedStatuses;
	}

	@Override
	public ClientRequest buildRequest(UpstreamRequest request, AttemptContext context) {
		ClientRequest clientRequest = new ClientRequest().setMethod(request.method()).setPath(request.target());
		HeaderMap headers = clientRequest.getRequestHeaders();
		request.headers().forEach((values) -> headers.addAll(values.getHeaderName(), values));
		headers.put(Headers.HOST, hostAndPort(context.upstream()));
		headers.put(Headers.CONTENT_LENGTH, request.body().length);
		headers.put(REQUEST_ID, context.attemptId());
		if (context.resumePoint().tokens() > 0) {
			headers.put(RESUME_TOKENS, context.resumePoint().tokens());
		}
		return clientRequest;
	}

	@Override
	public ResponseHead parseHead(UpstreamRequest request, AttemptContext context, ClientResponse response) {
		HeaderMap headers = response.getResponseHeaders();
		int status = response.getResponseCode();
		boolean draining = Boolean.parseBoolean(headers.getFirst(HeaderNames.DRAINING));
		ResponseKind kind = kindOf(request, context, response);
		return new ResponseHead(kind, detailFor(kind, status), status, headers, loadOf(headers), draining, null, null);
	}

	@Override
	public boolean allowsCloseDelimitedBody() {
		return false;
	}

	@Override
	public BufferedResponse validate(AttemptContext context, ResponseHead responseHead, byte[] body) {
		if (!this.forModelEngine || responseHead.status() != STATUS_OK) {
			return new BufferedResponse(responseHead.status(), responseHead.headers(), body, 0);
		}
		ChatResponseValidator.ValidatedBody validated = validator(context).validateBody(body);
		return new BufferedResponse(responseHead.status(), responseHead.headers(), validated.body(),
				validated.tokens());
	}

	@Override
	public StreamParser newStreamParser(AttemptContext context) {
		return new ChatStreamParser(validator(context));
	}

	/**
	 * Encodes an event of a server-sent event stream.
	 * @param data the data of the event
	 * @return the encoded event
	 */
	public static byte[] encodeEvent(String data) {
		return ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
	}

	private ResponseKind kindOf(UpstreamRequest request, AttemptContext context, ClientResponse response) {
		int status = response.getResponseCode();
		if (this.notExecutedStatuses.contains(status)) {
			return ResponseKind.NOT_EXECUTED;
		}
		String echoedAttemptId = response.getResponseHeaders().getFirst(REQUEST_ID);
		if ((echoedAttemptId != null) ? !echoedAttemptId.equals(context.attemptId()) : this.forModelEngine) {
			return ResponseKind.MISMATCHED;
		}
		if (this.forModelEngine && status >= FIRST_SERVER_ERROR_STATUS) {
			return ResponseKind.MALFORMED;
		}
		return (request.streamed() && status == STATUS_OK) ? ResponseKind.STREAM : ResponseKind.WHOLE;
	}

	private static String detailFor(ResponseKind kind, int status) {
		return (kind == ResponseKind.MISMATCHED) ? "the response does not contain the identifier of this attempt"
				: "the upstream responded with status " + status;
	}

	private static ChatResponseValidator validator(AttemptContext context) {
		return new ChatResponseValidator(context.attemptId(), context.requestId());
	}

	private static String hostAndPort(ListedHost upstream) {
		return upstream.address() + ":" + upstream.port();
	}

	private static @Nullable ReportedLoad loadOf(HeaderMap headers) {
		int running = parseNumber(headers.getFirst(HeaderNames.ENGINE_RUNNING));
		int slots = parseNumber(headers.getFirst(HeaderNames.ENGINE_SLOTS));
		if (running < 0 || slots <= 0) {
			return null;
		}
		return new ReportedLoad(running, slots,
				Math.max(0, parseNumber(headers.getFirst(HeaderNames.ENGINE_REPORT_AGE))));
	}

	// Returns -1 if the header is missing or is not a number.
	private static int parseNumber(@Nullable String text) {
		try {
			return (text != null) ? Integer.parseInt(text) : -1;
		}
		catch (NumberFormatException ex) {
			return -1;
		}
	}

}
