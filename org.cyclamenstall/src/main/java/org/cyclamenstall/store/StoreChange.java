package org.cyclamenstall.store;

import org.jspecify.annotations.Nullable;

/**
 * Holds one change of a key. Immutable.
 *
 * @param key the key
 * @param version the store index of the change
 * @param record the record that was written, or {@code null} if the key was removed
 */
public record StoreChange(String key, long version, @Nullable StoreRecord record) {

}
