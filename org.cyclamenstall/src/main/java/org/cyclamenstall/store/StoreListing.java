package org.cyclamenstall.store;

import java.util.List;

/**
 * Holds the records below a key prefix as of one store index.
 *
 * @param records the records, ordered by key
 * @param index the index to pass to {@link ConfigurationStore#waitForChange}
 */
public record StoreListing(List<StoreRecord> records, long index) {

}
