package org.cyclamenstall.hosts;

import java.util.Optional;

import org.cyclamenstall.store.StoreRecord;

/**
 * Decodes hosts from the records of the platform's store. Stateless and thread-safe.
 */
@FunctionalInterface
public interface HostCodec {

	/**
	 * Decodes a host.
	 * @param record the record, whose content is not trusted
	 * @return the host; empty if the record does not describe a host
	 */
	Optional<ListedHost> decode(StoreRecord record);

	/**
	 * Compares when a host wrote two of its records, by what the host states in them.
	 * @param first a record
	 * @param second another record of the same host
	 * @return a negative number if the first is the older one, a positive number if it is
	 * the newer one, zero if they are equally old or one of them does not tell
	 */
	default int compareAge(StoreRecord first, StoreRecord second) {
		return 0;
	}

}
