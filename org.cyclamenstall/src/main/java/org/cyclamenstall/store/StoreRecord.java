package org.cyclamenstall.store;

/**
 * Holds one record of the store. The array is not copied and must not be modified.
 *
 * @param key the key
 * @param value the value
 * @param version the version to pass to {@link ConfigurationStore#compareAndSwap};
 * changes with every write of the record
 */
public record StoreRecord(String key, byte[] value, long version) {

}
