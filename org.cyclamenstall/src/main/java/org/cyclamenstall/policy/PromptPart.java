package org.cyclamenstall.policy;

/**
 * Identifies one part of a prompt. A model engine can reuse its cached prefill for
 * requests that start with the same parts. Immutable.
 *
 * @param id the identifier of the content
 * @param tokens the length of the part, in tokens
 */
public record PromptPart(String id, int tokens) {

}
