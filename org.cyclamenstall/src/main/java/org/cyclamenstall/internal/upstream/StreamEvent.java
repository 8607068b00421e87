package org.cyclamenstall.internal.upstream;

/**
 * Holds one checked event of a model's stream. Immutable.
 *
 * @param data the data of the event, one JSON object
 * @param tokens the generated tokens that it carries
 * @param finishing whether it carries the reason for the end
 */
public record StreamEvent(String data, int tokens, boolean finishing) {

}
