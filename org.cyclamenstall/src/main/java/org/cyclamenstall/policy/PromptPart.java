package org.cyclamenstall.policy;

/**
 * Names one part of a prompt. Requests that begin with the same parts share the work of
 * reading them. Immutable.
 *
 * @param id the identifier of the content
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {

}
