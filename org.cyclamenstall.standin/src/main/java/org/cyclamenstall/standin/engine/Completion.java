package org.cyclamenstall.standin.engine;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Holds a whole answer. Immutable.
 *
 * @param id the attempt identifier
 * @param object the type of the object
 * @param choices the one choice
 * @param usage the counts of tokens
 */
record Completion(String id, String object, List<Choice> choices, Chunk.Usage usage) {

	static Completion of(String id, String text, Chunk.Usage usage) {
		return new Completion(id, "chat.completion",
				List.of(new Choice(0, new Chunk.Message("assistant", text), EngineAnswer.STOP)), usage);
	}

	/**
	 * Holds the choice of an answer.
	 *
	 * @param index the index, which is zero
	 * @param message the text
	 * @param finishReason why the answer ended
	 */
	record Choice(int index, Chunk.Message message, @JsonProperty("finish_reason") String finishReason) {

	}

}
