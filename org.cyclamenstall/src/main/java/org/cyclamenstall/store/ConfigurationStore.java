package org.cyclamenstall.store;

import java.time.Duration;
import java.util.Optional;

/**
 * Reaches the platform's key-value service. All methods block and must not be called on
 * an I/O thread. Thread-safe.
 *
 * <p>
 * Reads throw a {@link org.cyclamenstall.errors.RouterException} of kind
 * {@code STORE_UNAVAILABLE} when no answer came; writes never throw for that and return a
 * {@link WriteResult} instead.
 */
public interface ConfigurationStore {

	/**
	 * Reads a record.
	 * @param key the key
	 * @param priority the rank of this call
	 * @return the record, or empty if there is none
	 */
	Optional<StoreRecord> get(String key, StorePriority priority);

	/**
	 * Lists the records whose key starts with a prefix.
	 * @param prefix the prefix
	 * @param priority the rank of this call
	 * @return the records and the index of the listing
	 */
	StoreListing list(String prefix, StorePriority priority);

	/**
	 * Waits until something below a prefix changes after an index, or the wait ends.
	 * @param prefix the prefix
	 * @param index the index of an earlier listing
	 * @param wait the longest wait
	 * @return the listing at the time of the answer, changed or not
	 */
	StoreListing waitForChange(String prefix, long index, Duration wait);

	/**
	 * Creates a record if there is none under the key.
	 * @param key the key
	 * @param value the value
	 * @param priority the rank of this call
	 * @return what became of the write
	 */
	WriteResult createIfAbsent(String key, byte[] value, StorePriority priority);

	/**
	 * Replaces a record if its version is unchanged.
	 * @param key the key
	 * @param value the new value
	 * @param version the version that was read
	 * @param priority the rank of this call
	 * @return what became of the write
	 */
	WriteResult compareAndSwap(String key, byte[] value, long version, StorePriority priority);

	/**
	 * Deletes a record if its version is unchanged.
	 * @param key the key
	 * @param version the version that was read
	 * @param priority the rank of this call
	 * @return what became of the write
	 */
	WriteResult compareAndDelete(String key, long version, StorePriority priority);

}
