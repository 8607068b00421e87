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

}
