package org.cyclamenstall.store;

import java.time.Duration;

/**
 * Reads a key-value service that keeps a history of its changes. All methods block and
 * must not be called on an I/O thread; each ends within the time that is given. All throw
 * a {@link org.cyclamenstall.errors.RouterException} of kind {@code STORE_UNAVAILABLE}
 * when no answer came. Thread-safe.
 */
public interface WatchedStore {

	/**
	 * Lists the records whose key starts with a prefix, with linearizable reads. The
	 * listing may be spread over several calls; its index is that of the first, so that
	 * changes made meanwhile are seen again by {@link #changesAfter}.
	 * @param prefix the prefix
	 * @param timeout the longest time of each call
	 * @return the records and the index to continue from
	 */
	StoreListing list(String prefix, Duration timeout);

	/**
	 * Waits for changes below a prefix.
	 * @param prefix the prefix
	 * @param index the index after which changes are asked for
	 * @param wait how long the store waits for a change
	 * @param timeout the longest time of the call
	 * @return the changes in order, perhaps none
	 * @throws org.cyclamenstall.errors.RouterException of kind {@code STORE_HISTORY_LOST}
	 * if the store does not hold these changes any more
	 */
	StoreChanges changesAfter(String prefix, long index, Duration wait, Duration timeout);

}
