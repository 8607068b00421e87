package org.cyclamenstall.store;

/**
 * Holds one record of the store. The array is not copied and must not be changed.
 *
 * @param key the key
 * @param value the value in bytes
 * @param version the version for {@link ConfigurationStore#compareAndSwap}; changes with
 * every write of the record
 */
public record StoreRecord(String key, byte[] value, long version) {

}
