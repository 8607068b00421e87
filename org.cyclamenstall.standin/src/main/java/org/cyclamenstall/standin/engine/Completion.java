package org.cyclamenstall.standin.engine;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A non-streamed response. Immutable.
 *
 * @param id the attempt identifier
 * @param object the object type, {@code chat.completion}
 * @param choices the single choice
 * @param usage the token counts
 */
record Completion(String id, String object, List<Choice> choices, Chunk.Usage usage) {

	static Completion of(String id, String text, Chunk.Usage usage) {
		return new Completion(id, "chat.completion",
				List.of(new Choice(0, new Chunk.Message("assistant", text), EngineResponse.FINISH_REASON_STOP)), usage);
	}

	/**
	 * The choice of a response.
	 *
	 * @param index the index, always 0
	 * @param message the generated message
	 * @param finishReason the finish reason
	 */
	record Choice(int index, Chunk.Message message, @JsonProperty("finish_reason") String finishReason) {

	}

}
