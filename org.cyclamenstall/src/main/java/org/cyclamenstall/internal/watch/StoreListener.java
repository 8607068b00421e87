package org.cyclamenstall.internal.watch;

import java.time.Duration;

import org.cyclamenstall.store.StoreChange;
import org.cyclamenstall.store.StoreListing;
import org.jspecify.annotations.Nullable;

/**
 * Receives the records and changes of a watched store. The methods are called in order on
 * the thread of the watcher.
 */
public interface StoreListener {

	/**
	 * Called with all watched records after each listing. Records are listed at the
	 * start, and again when changes may have been missed.
	 * @param listing the records, which replace all earlier ones
	 */
	void onListing(StoreListing listing);

	/**
	 * Called for each change after a listing. A change that is already contained in the
	 * listing may be reported as well.
	 * @param change the change
	 */
	void onChange(StoreChange change);

	/**
	 * Called when the store has become unavailable.
	 */
	default void onStoreLost() {
	}

	/**
	 * Called when the store responds again after an outage, before the records or changes
	 * of that response are reported.
	 */
	default void onStoreRecovered() {
	}

	/**
	 * Called when the store was restored from an older copy, before the records of the
	 * copy are listed. Records of the copy may be older than what is known; what was
	 * written since the copy is missing until it is written again.
	 */
	default void onStoreRestored() {
	}

	/**
	 * Returns whether the records that were reported last may confirm the known state.
	 * @return {@code false} while the store holds an older state, after a restore
	 */
	default boolean confirmsState() {
		return true;
	}

	/**
	 * Called after each poll, whether or not it succeeded or returned changes. Listeners
	 * can use it to check for expired periods.
	 */
	default void onPollCompleted() {
	}

	/**
	 * Returns the maximum time until the next call of {@link #onPollCompleted()}.
	 * @return the maximum time, or {@code null} for no limit
	 */
	default @Nullable Duration maximumPollTime() {
		return null;
	}

}
