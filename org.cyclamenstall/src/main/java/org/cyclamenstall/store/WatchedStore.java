package org.cyclamenstall.store;

import java.time.Duration;

/**
 * Reads a key-value store that keeps a history of its changes. All methods block and must
 * not be called on an I/O thread; each call to the store ends within its timeout. The
 * methods throw a {@link org.cyclamenstall.errors.RouterException} of kind
 * {@code STORE_UNAVAILABLE} if no valid response was received. Thread-safe.
 */
public interface WatchedStore {

	/**
	 * Lists the records whose key starts with a prefix, using linearizable reads. If the
	 * listing takes several calls, its index is that of the first call, so that
	 * {@link #changesAfter} returns the changes made during the listing again.
	 * @param prefix the prefix
	 * @param timeout the timeout of each call
	 * @return the records and the index to pass to {@link #changesAfter}
	 */
	StoreListing list(String prefix, Duration timeout);

	/**
	 * Waits for changes below a prefix.
	 * @param prefix the prefix
	 * @param index the index after which changes are returned
	 * @param wait the maximum time that the store waits for a change
	 * @param timeout the timeout of the call
	 * @return the changes in order; empty if there were none
	 * @throws org.cyclamenstall.errors.RouterException of kind {@code STORE_HISTORY_LOST}
	 * if the store no longer has the history after the index
	 */
	StoreChanges changesAfter(String prefix, long index, Duration wait, Duration timeout);

}
