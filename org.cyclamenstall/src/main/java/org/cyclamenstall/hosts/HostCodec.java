package org.cyclamenstall.hosts;

import java.util.Optional;

import org.cyclamenstall.store.StoreRecord;

/**
 * Decodes a host from the form in which the platform's store lists it. Stateless and
 * thread-safe.
 */
@FunctionalInterface
public interface HostCodec {

	/**
	 * Decodes a host.
	 * @param record the record of the store, which may come from any writer
	 * @return the host, or empty if the record does not describe one
	 */
	Optional<ListedHost> decode(StoreRecord record);

}
