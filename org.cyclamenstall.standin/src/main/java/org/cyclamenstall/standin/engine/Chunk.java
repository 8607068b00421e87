package org.cyclamenstall.standin.engine;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * One event of a streamed response. Immutable.
 *
 * @param id the attempt identifier
 * @param object the object type, {@code chat.completion.chunk}
 * @param choices the single choice
 * @param usage the token counts; {@code null} except in the last event
 */
record Chunk(String id, String object, List<Choice> choices,
		@JsonInclude(JsonInclude.Include.NON_NULL) @Nullable Usage usage) {

	private static final String OBJECT = "chat.completion.chunk";

	static Chunk token(String id, String text) {
		return new Chunk(id, OBJECT, List.of(new Choice(0, new Message(null, text), null)), null);
	}

	static Chunk last(String id, Usage usage) {
		return new Chunk(id, OBJECT, List.of(new Choice(0, new Message(null, null), EngineResponse.FINISH_REASON_STOP)),
				usage);
	}

	/**
	 * The choice of an event.
	 *
	 * @param index the index, always 0
	 * @param delta the text added by the event
	 * @param finishReason the finish reason; {@code null} except in the last event
	 */
	record Choice(int index, Message delta, @JsonProperty("finish_reason") @Nullable String finishReason) {

	}

	/**
	 * A message or a part of it.
	 *
	 * @param role the role of the author; {@code null} in a streamed response
	 * @param content the text; {@code null} in the last event of a stream
	 */
	@JsonInclude(JsonInclude.Include.NON_NULL)
	record Message(@Nullable String role, @Nullable String content) {

	}

	/**
	 * The token counts of a response.
	 *
	 * @param promptTokens the number of prompt tokens
	 * @param completionTokens the number of tokens in the response
	 */
	record Usage(@JsonProperty("prompt_tokens") int promptTokens,
			@JsonProperty("completion_tokens") int completionTokens) {

	}

}
