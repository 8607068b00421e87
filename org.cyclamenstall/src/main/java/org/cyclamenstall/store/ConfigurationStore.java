package org.cyclamenstall.store;

import java.time.Duration;
import java.util.Optional;

/**
 * Accesses the platform's key-value store. All methods block and must not be called on an
 * I/O thread. Thread-safe.
 *
 * <p>
 * Reads throw a {@link org.cyclamenstall.errors.RouterException} of kind
 * {@code STORE_UNAVAILABLE} if no valid response was received. Writes do not throw in
 * that case and return a {@link WriteResult} instead.
 */
public interface ConfigurationStore {

	/**
	 * Reads a record.
	 * @param key the key
	 * @param priority the priority of this call
	 * @return the record; empty if there is none
	 */
	Optional<StoreRecord> get(String key, StorePriority priority);

	/**
	 * Lists the records whose key starts with a prefix.
	 * @param prefix the prefix
	 * @param priority the priority of this call
	 * @return the records and the index of the listing
	 */
	StoreListing list(String prefix, StorePriority priority);

	/**
	 * Waits until a record below a prefix changes after an index, or until the wait time
	 * has passed.
	 * @param prefix the prefix
	 * @param index the index of an earlier listing
	 * @param wait the maximum wait time
	 * @return the current listing, whether or not it has changed
	 */
	StoreListing waitForChange(String prefix, long index, Duration wait);

	/**
	 * Creates a record if the key does not exist.
	 * @param key the key
	 * @param value the value
	 * @param priority the priority of this call
	 * @return the result of the write
	 */
	WriteResult createIfAbsent(String key, byte[] value, StorePriority priority);

	/**
	 * Replaces a record if its version is unchanged.
	 * @param key the key
	 * @param value the new value
	 * @param version the version that was read
	 * @param priority the priority of this call
	 * @return the result of the write
	 */
	WriteResult compareAndSwap(String key, byte[] value, long version, StorePriority priority);

	/**
	 * Deletes a record if its version is unchanged.
	 * @param key the key
	 * @param version the version that was read
	 * @param priority the priority of this call
	 * @return the result of the write
	 */
	WriteResult compareAndDelete(String key, long version, StorePriority priority);

}
