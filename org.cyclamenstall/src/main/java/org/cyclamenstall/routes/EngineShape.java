package org.cyclamenstall.routes;

/**
 * Describes the model engines of a service. Immutable.
 *
 * @param slots the requests that one engine runs in a batch
 * @param memoryTokens the tokens that the memory of one engine holds
 * @param tokensPerEvent the tokens that one event of a stream carries
 */
public record EngineShape(int slots, long memoryTokens, int tokensPerEvent) {

}
