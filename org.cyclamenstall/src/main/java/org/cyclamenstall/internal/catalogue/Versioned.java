package org.cyclamenstall.internal.catalogue;

/**
 * A value read from the store, with its version. Immutable.
 *
 * @param <T> the type of value
 * @param value the value
 * @param version the version in the store; 0 if there is no record
 */
public record Versioned<T>(T value, long version) {

}
