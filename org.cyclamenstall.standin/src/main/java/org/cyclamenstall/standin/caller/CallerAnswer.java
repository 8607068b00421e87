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
 * Holds what a caller got. Immutable.
 *
 * @param status the HTTP status; 0 if no head came
 * @param headers the headers
 * @param body the body as far as it came
 * @param failure why the answer was cut; empty if the transport ended it in an orderly
 * way
 */
public record CallerAnswer(int status, HttpHeaders headers, String body, Optional<Exception> failure) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String DATA = "data: ";

	private static final String END_MARK = "data: [DONE]";

	/**
	 * Returns whether the answer looks whole to a caller: status 200, an orderly end of
	 * the transport, and the end mark if it is a stream.
	 * @return {@code true} if it looks whole
	 */
	public boolean looksWhole() {
		return this.status == 200 && this.failure.isEmpty() && (!isStream() || hasEndMark());
	}

	/**
	 * Returns whether the answer is a stream of events.
	 * @return {@code true} for a stream
	 */
	public boolean isStream() {
		return header("Content-Type").map((type) -> type.startsWith("text/event-stream")).orElse(Boolean.FALSE);
	}

	/**
	 * Returns whether the end mark of a stream came.
	 * @return {@code true} if it came
	 */
	public boolean hasEndMark() {
		return this.body.lines().anyMatch(END_MARK::equals);
	}

	/**
	 * Returns the generated tokens of a streamed answer in order.
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
	 * Returns the generated text of a streamed or whole answer.
	 * @return the text
	 */
	public String text() {
		return isStream() ? String.join("", tokens()) : json().at("/choices/0/message/content").asText();
	}

	/**
	 * Returns the data of the events of a stream, the end mark left out; an event that is
	 * not whole yet is left out too.
	 * @return the events
	 */
	public List<JsonNode> events() {
		int whole = this.body.lastIndexOf('\n');
		return this.body.substring(0, Math.max(0, whole))
			.lines()
			.filter((line) -> line.startsWith(DATA) && !line.equals(END_MARK))
			.map((line) -> parse(line.substring(DATA.length())))
			.toList();
	}

	/**
	 * Returns the error kind of a refusal or of a stream that failed midway.
	 * @return the kind, or an empty text if there is none
	 */
	public String errorKind() {
		return error("kind");
	}

	/**
	 * Returns the outcome of a failed request.
	 * @return the outcome, or an empty text if there is none
	 */
	public String outcome() {
		return error("outcome");
	}

	/**
	 * Returns the request identifier that the daemon gave.
	 * @return the identifier, or an empty text if there is none
	 */
	public String requestId() {
		return header(HeaderNames.REQUEST_ID).orElse("");
	}

	/**
	 * Returns a header.
	 * @param name the name
	 * @return the first value
	 */
	public Optional<String> header(String name) {
		return this.headers.firstValue(name);
	}

	/**
	 * Parses the body.
	 * @return the JSON document
	 */
	public JsonNode json() {
		return parse(this.body);
	}

	@Override
	public String toString() {
		return "CallerAnswer[" + this.status + " " + this.headers.map() + " " + this.failure + " "
				+ this.body.substring(0, Math.min(2_000, this.body.length())) + "]";
	}

	private String error(String field) {
		if (isStream()) {
			return events().stream()
				.map((event) -> event.at("/error/" + field).asText(""))
				.filter((text) -> !text.isEmpty())
				.findFirst()
				.orElse("");
		}
		return (this.status >= 400 && this.body.startsWith("{")) ? json().at("/error/" + field).asText("") : "";
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
