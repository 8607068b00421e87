package org.cyclamenstall.store;

import java.util.List;

/**
 * Holds the records below a key prefix at a store index. Immutable.
 *
 * @param records the records, sorted by key
 * @param index the index to pass to {@link ConfigurationStore#waitForChange} or
 * {@link WatchedStore#changesAfter}
 */
public record StoreListing(List<StoreRecord> records, long index) {

}
