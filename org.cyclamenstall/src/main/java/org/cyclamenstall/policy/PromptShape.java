package org.cyclamenstall.policy;

import java.util.List;

/**
 * Describes the size of a model request and the parts of its prompt. Immutable.
 *
 * @param promptTokens the length of the prompt, in tokens
 * @param maximumOutputTokens the maximum number of generated tokens, or zero for no limit
 * @param expectedOutputTokens the caller's estimate of the number of generated tokens, or
 * zero if not given
 * @param parts the parts of the prompt in order; the last one is specific to this request
 * or its session
 */
public record PromptShape(int promptTokens, int maximumOutputTokens, int expectedOutputTokens, List<PromptPart> parts) {

	/** Shape of a request without a prompt. */
	public static final PromptShape NONE = new PromptShape(0, 0, 0, List.of());

	/**
	 * Returns the prompt prefix that other requests may share.
	 * @return all parts except the last one
	 */
	public List<PromptPart> shareableParts() {
		return this.parts.isEmpty() ? this.parts : this.parts.subList(0, this.parts.size() - 1);
	}

	/**
	 * Returns the number of generated tokens to plan for.
	 * @return the caller's estimate, capped at the maximum; the maximum if there is no
	 * estimate; zero if there is neither
	 */
	public int estimatedOutputTokens() {
		if (this.expectedOutputTokens > 0) {
			return (this.maximumOutputTokens > 0) ? Math.min(this.expectedOutputTokens, this.maximumOutputTokens)
					: this.expectedOutputTokens;
		}
		return this.maximumOutputTokens;
	}

}
