package org.cyclamenstall.routes;

/**
 * Properties of the model engines of a service. Immutable.
 *
 * @param slots the number of requests that one engine processes concurrently in a batch
 * @param cacheTokens the capacity of the KV cache of one engine, in tokens
 * @param tokensPerEvent the number of tokens per stream event
 */
public record EngineProperties(int slots, long cacheTokens, int tokensPerEvent) {

}
