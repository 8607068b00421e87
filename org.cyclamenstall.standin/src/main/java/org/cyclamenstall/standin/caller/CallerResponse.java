package org.cyclamenstall.standin.caller;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cyclamenstall.lib.HeaderNames;

/**
 * Response as received by a caller, possibly truncated. Immutable.
 *
 * @param status the HTTP status; 0 if no headers were received
 * @param headers the response headers
 * @param body the body as far as it was received
 * @param failure the I/O error or interruption that truncated the response; empty if the
 * transport ended it normally
 */
public record CallerResponse(int status, HttpHeaders headers, String body, Optional<Exception> failure) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String DATA_PREFIX = "data: ";

	private static final String END_MARKER = "data: [DONE]";

	/**
	 * Returns whether a caller would accept the response as complete: it has status 200,
	 * the transport ended normally, and a stream contains the end marker.
	 * @return {@code true} if the response is complete
	 */
	public boolean isComplete() {
		return this.status == 200 && this.failure.isEmpty() && (!isStream() || hasEndMarker());
	}

	/**
	 * Returns whether the response is a stream of server-sent events.
	 * @return {@code true} for a stream
	 */
	public boolean isStream() {
		return header("Content-Type").map((type) -> type.startsWith("text/event-stream")).orElse(Boolean.FALSE);
	}

	/**
	 * Returns whether the end marker of a stream was received.
	 * @return {@code true} if it was received
	 */
	public boolean hasEndMarker() {
		return this.body.lines().anyMatch(END_MARKER::equals);
	}

	/**
	 * Returns the generated tokens of a streamed response in order.
	 * @return the tokens
	 */
	public List<String> tokens() {
		List<String> tokens = new ArrayList<>();
		events().forEach((event) -> {
			String content = event.at("/choices/0/delta/content").asText("");
			if (!content.isEmpty()) {
				tokens.add(content);
			}
		});
		return tokens;
	}

	/**
	 * Returns the generated text of a streamed or non-streamed response.
	 * @return the text
	 */
	public String text() {
		return isStream() ? String.join("", tokens()) : json().at("/choices/0/message/content").asText();
	}

	/**
	 * Returns the data of the events of a stream, except the end marker and a last event
	 * that is still incomplete.
	 * @return the events
	 */
	public List<JsonNode> events() {
		int completeLength = this.body.lastIndexOf('\n');
		return this.body.substring(0, Math.max(0, completeLength))
			.lines()
			.filter((line) -> line.startsWith(DATA_PREFIX) && !line.equals(END_MARKER))
			.map((line) -> parse(line.substring(DATA_PREFIX.length())))
			.toList();
	}

	/**
	 * Returns the error kind of an error response or of a stream that ended in an error.
	 * @return the kind, or an empty string if there is none
	 */
	public String errorKind() {
		return errorField("kind");
	}

	/**
	 * Returns the outcome of a failed request.
	 * @return the outcome, or an empty string if there is none
	 */
	public String outcome() {
		return errorField("outcome");
	}

	/**
	 * Returns the request identifier that the daemon assigned.
	 * @return the identifier, or an empty string if there is none
	 */
	public String requestId() {
		return header(HeaderNames.REQUEST_ID).orElse("");
	}

	/**
	 * Returns the first value of a response header.
	 * @param name the name of the header
	 * @return the value; empty if the header is missing
	 */
	public Optional<String> header(String name) {
		return this.headers.firstValue(name);
	}

	/**
	 * Parses the body as JSON.
	 * @return the JSON document
	 */
	public JsonNode json() {
		return parse(this.body);
	}

	@Override
	public String toString() {
		return "CallerResponse[" + this.status + " " + this.headers.map() + " " + this.failure + " "
				+ this.body.substring(0, Math.min(2_000, this.body.length())) + "]";
	}

	private String errorField(String fieldName) {
		if (isStream()) {
			return events().stream()
				.map((event) -> event.at("/error/" + fieldName).asText(""))
				.filter((text) -> !text.isEmpty())
				.findFirst()
				.orElse("");
		}
		return (this.status >= 400 && this.body.startsWith("{")) ? json().at("/error/" + fieldName).asText("") : "";
	}

	private static JsonNode parse(String text) {
		try {
			return MAPPER.readTree(text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
