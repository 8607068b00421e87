package org.cyclamenstall.junit;

/**
 * Describes one call to {@link InMemoryConfigurationStore}. Immutable.
 *
 * @param operation the operation
 * @param key the key or prefix
 * @param number the number of this call since the store was created, from one
 */
public record StoreCall(StoreOperation operation, String key, long number) {
}
