package org.cyclamenstall.policy;

import java.util.List;

/**
 * Holds what is known of the size and content of a model request. Immutable.
 *
 * @param promptTokens the length of the prompt, in tokens
 * @param maximumOutputTokens the largest number of generated tokens, or zero for none
 * @param expectedOutputTokens the caller's estimate of the generated tokens, or zero for
 * none
 * @param parts the parts of the prompt in order; the last one belongs to this request or
 * its session
 */
public record PromptShape(int promptTokens, int maximumOutputTokens, int expectedOutputTokens, List<PromptPart> parts) {

	/** Describes a request without a prompt. */
	public static final PromptShape NONE = new PromptShape(0, 0, 0, List.of());

	/**
	 * Returns the longest part of the beginning that other requests may share: all parts
	 * but the last.
	 * @return the parts
	 */
	public List<PromptPart> sharedParts() {
		return this.parts.isEmpty() ? this.parts : this.parts.subList(0, this.parts.size() - 1);
	}

	/**
	 * Returns the output to reckon with.
	 * @return the caller's estimate, or the bound if there is none
	 */
	public int likelyOutputTokens() {
		if (this.expectedOutputTokens > 0) {
			return (this.maximumOutputTokens > 0) ? Math.min(this.expectedOutputTokens, this.maximumOutputTokens)
					: this.expectedOutputTokens;
		}
		return this.maximumOutputTokens;
	}

}
