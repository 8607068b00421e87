package org.cyclamenstall.standin.engine;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * Holds one event of a streamed answer. Immutable.
 *
 * @param id the attempt identifier
 * @param object the type of the object
 * @param choices the one choice
 * @param usage the counts of tokens, in the last event only
 */
record Chunk(String id, String object, List<Choice> choices,
		@JsonInclude(JsonInclude.Include.NON_NULL) @Nullable Usage usage) {

	private static final String OBJECT = "chat.completion.chunk";

	static Chunk token(String id, String text) {
		return new Chunk(id, OBJECT, List.of(new Choice(0, new Message(null, text), null)), null);
	}

	static Chunk last(String id, Usage usage) {
		return new Chunk(id, OBJECT, List.of(new Choice(0, new Message(null, null), EngineAnswer.STOP)), usage);
	}

	/**
	 * Holds the choice of an event.
	 *
	 * @param index the index, which is zero
	 * @param delta the added text
	 * @param finishReason why the answer ended
	 */
	record Choice(int index, Message delta, @JsonProperty("finish_reason") @Nullable String finishReason) {

	}

	/**
	 * Holds text.
	 *
	 * @param role the role of the author
	 * @param content the text
	 */
	@JsonInclude(JsonInclude.Include.NON_NULL)
	record Message(@Nullable String role, @Nullable String content) {

	}

	/**
	 * Holds the counts of tokens of an answer.
	 *
	 * @param promptTokens the length of the prompt
	 * @param completionTokens the length of the answer
	 */
	record Usage(@JsonProperty("prompt_tokens") int promptTokens,
			@JsonProperty("completion_tokens") int completionTokens) {

	}

}
