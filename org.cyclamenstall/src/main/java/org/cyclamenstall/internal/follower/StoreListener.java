package org.cyclamenstall.internal.follower;

import java.util.List;

import org.cyclamenstall.store.StoreChange;
import org.cyclamenstall.store.StoreRecord;

/**
 * Is told what a followed store holds. The calls come in order on the follower's thread.
 */
public interface StoreListener {

	/**
	 * Takes everything that the store holds.
	 * @param records the records
	 */
	void listed(List<StoreRecord> records);

	/**
	 * Takes a change.
	 * @param change the change
	 */
	void changed(StoreChange change);

	/**
	 * Is told that the store stopped answering.
	 */
	default void lost() {
	}

	/**
	 * Is told that the store answers again.
	 */
	default void regained() {
	}

	/**
	 * Is told that a call ended, with or without changes; time may have passed.
	 */
	default void settled() {
	}

}
