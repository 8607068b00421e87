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
 * Speaks the product's own protocol: chat completions with model engines, any answers
 * with plain services. Immutable and thread-safe.
 */
public final class ChatUpstreamProtocol implements UpstreamProtocol {

	private static final HttpString REQUEST_ID = new HttpString(HeaderNames.REQUEST_ID);

	private static final HttpString RESUME_TOKENS = new HttpString(HeaderNames.RESUME_TOKENS);

	private static final int STATUS_OK = 200;

	private static final int STATUS_SERVER_ERROR = 500;

	private final boolean model;

	private final Set<Integer> notExecutedStatuses;

	/**
	 * Creates the protocol of one request.
	 * @param model whether the upstream is a model engine, which must echo the attempt
	 * identifier
	 * @param notExecutedStatuses the statuses that declare that the request did not run
	 */
	public ChatUpstreamProtocol(boolean model, Set<Integer> notExecutedStatuses) {
		this.model = model;
		this.notExecutedStatuses = notExecutedStatuses;
	}

	@Override
	public ClientRequest head(UpstreamRequest request, AttemptTarget target) {
		ClientRequest head = new ClientRequest().setMethod(request.method()).setPath(request.target());
		HeaderMap headers = head.getRequestHeaders();
		request.headers().forEach((value) -> headers.addAll(value.getHeaderName(), value));
		headers.put(Headers.HOST, hostAndPort(target.upstream()));
		headers.put(Headers.CONTENT_LENGTH, request.body().length);
		headers.put(REQUEST_ID, target.attemptId());
		if (target.resume().tokens() > 0) {
			headers.put(RESUME_TOKENS, target.resume().tokens());
		}
		return head;
	}

	@Override
	public AnswerHead read(UpstreamRequest request, AttemptTarget target, ClientResponse response) {
		HeaderMap headers = response.getResponseHeaders();
		int status = response.getResponseCode();
		boolean draining = Boolean.parseBoolean(headers.getFirst(HeaderNames.DRAINING));
		AnswerNature nature = natureOf(request, target, response);
		return new AnswerHead(nature, detailOf(nature, status), status, headers, loadOf(headers), draining, null);
	}

	@Override
	public boolean provesEndByClose() {
		return false;
	}

	@Override
	public WholeAnswer check(AttemptTarget target, AnswerHead head, byte[] body) {
		if (!this.model || head.status() != STATUS_OK) {
			return new WholeAnswer(head.status(), head.headers(), body, 0);
		}
		ChatAnswerChecker.CheckedBody checked = checker(target).checkWhole(body);
		return new WholeAnswer(head.status(), head.headers(), checked.body(), checked.tokens());
	}

	@Override
	public StreamParser newStreamParser(AttemptTarget target) {
		return new ChatStreamParser(checker(target));
	}

	/**
	 * Returns an event in the form of a stream of events.
	 * @param data the data of the event
	 * @return the event in bytes
	 */
	public static byte[] event(String data) {
		return ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
	}

	private AnswerNature natureOf(UpstreamRequest request, AttemptTarget target, ClientResponse response) {
		int status = response.getResponseCode();
		if (this.notExecutedStatuses.contains(status)) {
			return AnswerNature.NOT_EXECUTED;
		}
		String echoed = response.getResponseHeaders().getFirst(REQUEST_ID);
		if ((echoed != null) ? !echoed.equals(target.attemptId()) : this.model) {
			return AnswerNature.MISMATCHED;
		}
		if (this.model && status >= STATUS_SERVER_ERROR) {
			return AnswerNature.MALFORMED;
		}
		return (request.streamed() && status == STATUS_OK) ? AnswerNature.STREAM : AnswerNature.WHOLE;
	}

	private static String detailOf(AnswerNature nature, int status) {
		return (nature == AnswerNature.MISMATCHED) ? "the answer does not carry the identifier of this attempt"
				: "the upstream answered " + status;
	}

	private static ChatAnswerChecker checker(AttemptTarget target) {
		return new ChatAnswerChecker(target.attemptId(), target.requestId());
	}

	private static String hostAndPort(ListedHost upstream) {
		return upstream.address() + ":" + upstream.port();
	}

	private static @Nullable ReportedLoad loadOf(HeaderMap headers) {
		int running = number(headers.getFirst(HeaderNames.ENGINE_RUNNING));
		int slots = number(headers.getFirst(HeaderNames.ENGINE_SLOTS));
		if (running < 0 || slots <= 0) {
			return null;
		}
		return new ReportedLoad(running, slots, Math.max(0, number(headers.getFirst(HeaderNames.ENGINE_REPORT_AGE))));
	}

	private static int number(@Nullable String text) {
		try {
			return (text != null) ? Integer.parseInt(text) : -1;
		}
		catch (NumberFormatException ex) {
			return -1;
		}
	}

}
