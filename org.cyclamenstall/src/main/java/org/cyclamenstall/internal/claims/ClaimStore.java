package org.cyclamenstall.internal.claims;

import java.io.IOException;
import java.util.Optional;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.store.ConfigurationStore;
import org.cyclamenstall.store.StorePriority;
import org.cyclamenstall.store.StoreRecord;
import org.cyclamenstall.store.WriteResult;

/**
 * Reads and writes claim records. Thread-safe; blocks.
 */
final class ClaimStore {

	private final ConfigurationStore store;

	ClaimStore(ConfigurationStore store) {
		this.store = store;
	}

	/**
	 * Reads a record.
	 * @param key the key
	 * @param priority the priority of the call
	 * @return the record with its version, or empty if there is none
	 * @throws RouterException if the store does not respond or the record is malformed
	 */
	Optional<StoredClaim> read(String key, StorePriority priority) {
		return this.store.get(key, priority).map(ClaimStore::parse);
	}

	/**
	 * Writes a record if its version in the store is unchanged.
	 * @param key the key
	 * @param record the record
	 * @param version the version that was read; zero if there was no record
	 * @param priority the priority of the call
	 * @return the result of the write
	 */
	WriteResult write(String key, ClaimRecord record, long version, StorePriority priority) {
		byte[] value = record.toBytes();
		return (version == 0) ? this.store.createIfAbsent(key, value, priority)
				: this.store.compareAndSwap(key, value, version, priority);
	}

	private static StoredClaim parse(StoreRecord record) {
		try {
			return new StoredClaim(ClaimRecord.parse(record.value()), record.version());
		}
		catch (IOException ex) {
			throw new RouterException(ErrorKind.STORE_UNAVAILABLE, "Claim record " + record.key() + " is malformed",
					ex);
		}
	}

	/**
	 * A claim record with its version in the store.
	 *
	 * @param record the record
	 * @param version the version
	 */
	record StoredClaim(ClaimRecord record, long version) {
	}

}
