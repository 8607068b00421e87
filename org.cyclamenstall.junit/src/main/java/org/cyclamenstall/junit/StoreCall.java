package org.cyclamenstall.junit;

/**
 * Represents one call of an {@link InMemoryConfigurationStore}. Immutable.
 *
 * @param operation the operation
 * @param key the key, or the prefix for {@link StoreOperation#LIST} and
 * {@link StoreOperation#WAIT}
 * @param number the sequence number of the call in its store, starting at 1
 */
public record StoreCall(StoreOperation operation, String key, long number) {
}
