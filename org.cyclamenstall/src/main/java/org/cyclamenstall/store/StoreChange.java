package org.cyclamenstall.store;

import org.jspecify.annotations.Nullable;

/**
 * Describes a change of a key. Immutable.
 *
 * @param key the key
 * @param version the store index of the change
 * @param record the new record, or {@code null} if the key was removed
 */
public record StoreChange(String key, long version, @Nullable StoreRecord record) {

}
